"""Running a step periodically despite errors.

Owns: nothing.
Relies on: steps that can be run again after a failure.
"""

import asyncio
import random
import typing as t

from thorncleat_core.exceptions import ThorncleatError

from . import events

JITTER_SHARE = 0.1


async def repeat(
    name: str,
    step: t.Callable[[], t.Awaitable[None]],
    seconds: float,
    should_stop: t.Callable[[], bool],
) -> None:
    """Run a step at intervals until it should stop; failures are logged and don't end it.

    :param name: the task's name in the log.
    :param seconds: the interval; jitter keeps daemons from synchronising.
    """
    last = ""
    while not should_stop():
        reason, expected = "", True
        try:
            await step()
        except ThorncleatError as error:
            reason = str(error)
        except Exception as error:
            reason, expected = repr(error), False
        if reason and reason != last:
            # A persistent fault is logged once.
            events.TASK_FAILED.log(task=name, reason=reason, expected=expected)
        last = reason
        await asyncio.sleep(seconds * random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE))
