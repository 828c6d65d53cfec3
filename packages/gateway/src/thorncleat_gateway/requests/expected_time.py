"""Expected times of a streamed request at a group, by the figures of its engine.

An engine writes tokens of all running requests in passes of ``stride`` steps. While it reads a
prompt, each pass also reads a chunk of it; a pass without running requests has a single step. All
times are means: they lead to the choice of a group and to refusals, so callers need the order of
the groups and the right magnitude, not a bound.

Owns: nothing; every rule is a pure function.
Relies on: :class:`~..store.serving.EngineTimes` for the figures.
"""

import math
import typing as t

from ..ports import RequestMeta
from ..store.serving import EngineModel
from ..store.serving import EngineTimes

# Part of a pass that is left on average when a request arrives.
MEAN_PASS_LEFT = 0.5
# Part of its answer that a running request has written on average.
MEAN_ANSWER_WRITTEN = 0.5


class Work(t.NamedTuple):
    """The size of a request.

    :param answer_tokens: expected tokens of the answer.
    """

    prompt_tokens: float
    answer_tokens: float


def work_of(meta: RequestMeta, times: EngineTimes) -> Work:
    """Return the size of a request; what its caller doesn't state is taken to be usual."""
    prompt = times.usual_prompt if meta.prompt_tokens is None else meta.prompt_tokens
    answer = times.usual_answer
    if meta.expected_answer_tokens is not None:
        answer = meta.expected_answer_tokens
    if meta.max_answer_tokens is not None:
        answer = min(answer, meta.max_answer_tokens)
    return Work(prompt, answer)


def usual_work(times: EngineTimes) -> Work:
    """Return the size of a usual request."""
    return Work(times.usual_prompt, times.usual_answer)


def usual_context(times: EngineTimes) -> float:
    """Return the mean tokens of context of a running request."""
    return times.usual_prompt + MEAN_ANSWER_WRITTEN * times.usual_answer


def first_event_seconds(
    times: EngineTimes, model: EngineModel, work: Work, running: float
) -> float:
    """Return the seconds from the start of a request in a slot to its first event.

    :param running: other requests that run there.
    """
    pass_seconds = _pass_seconds(times, running, usual_context(times))
    chunks = max(1, math.ceil(work.prompt_tokens / times.chunk))
    pass_left = MEAN_PASS_LEFT * pass_seconds if running else 0.0
    reading = chunks * pass_seconds + _reading_seconds(times, work.prompt_tokens)
    first_pass = _pass_seconds(times, running + 1, usual_context(times))
    return model.pace * (pass_left + reading + first_pass)


def gap_seconds(times: EngineTimes, model: EngineModel, running: float, context: float) -> float:
    """Return the mean seconds between two events of a stream, of ``stride`` tokens each.

    It includes the reading of the prompts of the requests that follow the others.

    :param running: requests that run there, with this one.
    :param context: mean tokens of context of these requests.
    """
    passes = max(1.0, times.usual_answer / times.stride)
    reading = max(0.0, running - 1) * _reading_seconds(times, times.usual_prompt) / passes
    return model.pace * (_pass_seconds(times, running, context) + reading)


def service_seconds(times: EngineTimes, model: EngineModel, work: Work, running: float) -> float:
    """Return the seconds from the start of a request in a slot to its last event.

    :param running: other requests that run there.
    """
    later_events = max(0, math.ceil(work.answer_tokens / times.stride) - 1)
    gap = gap_seconds(times, model, running + 1, usual_context(times))
    return first_event_seconds(times, model, work, running) + later_events * gap


def wait_seconds(running: float, slots: int, service_seconds: float) -> float:
    """Return the seconds until a new request gets a slot; 0 while one is free.

    :param running: requests that run or wait there.
    :param service_seconds: for which a request holds its slot.
    """
    if running < slots:
        return 0.0
    ahead = running - slots + 1
    return ahead * service_seconds / slots


def _pass_seconds(times: EngineTimes, running: float, context: float) -> float:
    """Return the seconds of a pass at pace 1, without the reading of prompts."""
    if not running:
        return times.step
    step = times.step + running * (times.per_request + times.per_context_token * context)
    return times.stride * step


def _reading_seconds(times: EngineTimes, prompt_tokens: float) -> float:
    """Return the seconds that reading a prompt adds to the passes, at pace 1."""
    pairs = prompt_tokens * max(0.0, prompt_tokens - 1) / 2
    return prompt_tokens / times.read_rate + pairs * times.per_token_pair
