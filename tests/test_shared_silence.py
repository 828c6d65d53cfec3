"""Streams stay while most groups are silent together, in virtual time."""

import asyncio
import dataclasses
import random

import pytest

from thorncleat_gateway.peers.failure_detector import FailureDetector
from thorncleat_gateway.peers.failure_detector import StreamAttempt
from thorncleat_gateway.peers.shared_silence import MAX_SOUND_SILENCE_SECONDS
from thorncleat_gateway.settings import StreamSettings
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Membership

from . import virtual_time
from .test_failure_detector import PeerChannel

EVENT_SECONDS = 0.04
# How much later than the previous stream of its group a stream gets its events.
STAGGER_SECONDS = 0.01
# How long the streams run before the silence, so that the gaps between events are known.
CALM_SECONDS = 1.0
# When streams leave silent groups that are few, in seconds after the silence began. The last event
# of the first group comes later than those of the others.
PROMPT_SECONDS = 0.34
PROMPT_SECONDS_OF_OTHERS = 0.3


@dataclasses.dataclass(frozen=True)
class Silence:
    """When a group is silent.

    :param begins: seconds after the streams began.
    :param ends: the same; infinity if the group is dead.
    """

    begins: float
    ends: float

    def contains(self, seconds: float) -> bool:
        return self.begins <= seconds < self.ends


def leader(number: int) -> Endpoint:
    membership = Membership(GroupId(number + 1, f"g{number}"), 0, GroupState.OPEN)
    return Endpoint(f"w{number}", "narrator", "", "a", models=("m",), membership=membership)


class Streams:
    """Streams in some groups, and when they left them.

    :param silences: of each group; empty for groups that go on.
    :param per_group: number of streams in each group; their events don't come at the same moments.
    :ivar left_at: seconds after the beginning, by the group's number.
    """

    def __init__(self, silences: list[list[Silence]], per_group: int = 1) -> None:
        self._silences = silences
        self._per_group = per_group
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self.detector = FailureDetector(StreamSettings(), PeerChannel(), self._loop.time)
        self.left_at: dict[int, float] = {}

    @property
    def seconds(self) -> float:
        return self._loop.time() - self._started_at

    async def run(self, seconds: float) -> None:
        await self.detector.start()
        work = [
            asyncio.ensure_future(self._stream(number, place))
            for number in range(len(self._silences))
            for place in range(self._per_group)
        ]
        await asyncio.sleep(seconds)
        for task in work:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)
        await self.detector.stop()

    async def _stream(self, number: int, place: int) -> None:
        attempt = StreamAttempt(
            leader(number), self._loop.time(), lambda: True, lambda: self._leave(attempt, number)
        )
        self.detector.watch(attempt)
        # The groups don't write at the same moments.
        await asyncio.sleep(EVENT_SECONDS * number / len(self._silences) + STAGGER_SECONDS * place)
        while number not in self.left_at:
            if not any(silence.contains(self.seconds) for silence in self._silences[number]):
                attempt.record_event(self._loop.time())
                self.detector.record_contact(f"w{number}", self._loop.time())
            await asyncio.sleep(EVENT_SECONDS)

    def _leave(self, attempt: StreamAttempt, number: int) -> None:
        self.left_at[number] = self.seconds
        self.detector.unwatch(attempt)


def play(silences: list[list[Silence]], seconds: float = 6.0) -> dict[int, float]:
    """Return when the streams left their groups, in seconds after the silence began."""

    async def run() -> dict[int, float]:
        streams = Streams(silences)
        await streams.run(seconds)
        return {number: at - CALM_SECONDS for number, at in streams.left_at.items()}

    return virtual_time.run(run())


def silent_for(seconds: float) -> list[Silence]:
    return [Silence(CALM_SECONDS, CALM_SECONDS + seconds)]


DEAD = silent_for(float("inf"))
SOUND: list[Silence] = []


@pytest.mark.parametrize("seconds", [0.5, 1.0, 1.2, 1.4])
@pytest.mark.parametrize(("silent", "sound"), [(2, 0), (4, 0), (2, 1), (3, 2), (12, 0)])
def test_streams_stay_while_most_groups_are_silent_together(seconds, silent, sound):
    """Each left for a group that was as silent, and had no attempt left."""
    assert play([silent_for(seconds)] * silent + [SOUND] * sound) == {}


@pytest.mark.parametrize("late", [0.02, 0.1, 0.2])
def test_stream_does_not_leave_because_another_group_comes_back_a_little_earlier(late):
    assert play([silent_for(1.2), silent_for(1.2), silent_for(1.2 + late)]) == {}
    assert play([silent_for(1.2), silent_for(1.2 + late), silent_for(1.2 + late)]) == {}


def test_streams_stay_in_each_of_several_silences():
    silences = [Silence(CALM_SECONDS + at, CALM_SECONDS + at + 1.2) for at in (0.0, 2.0, 3.5)]
    assert play([silences] * 4, seconds=8.0) == {}


@pytest.mark.parametrize("dead", [1, 3])
def test_stream_leaves_when_another_group_is_heard_again_and_stays_so(dead):
    left_at = play([silent_for(0.8)] + [DEAD] * dead)
    assert sorted(left_at) == list(range(1, dead + 1))
    assert all(0.8 + 0.2 <= at <= 0.8 + 0.4 for at in left_at.values())


def test_streams_leave_when_their_silence_outlasts_that_of_a_sound_endpoint():
    left_at = play([DEAD] * 3)
    assert sorted(left_at) == [0, 1, 2]
    latest = MAX_SOUND_SILENCE_SECONDS + 0.04
    earliest = MAX_SOUND_SILENCE_SECONDS - EVENT_SECONDS
    assert all(earliest <= at <= latest for at in left_at.values())


@pytest.mark.parametrize("sound", [0, 1, 2, 5])
def test_streams_leave_a_group_that_is_silent_alone_as_soon_as_ever(sound):
    assert play([DEAD] + [SOUND] * sound) == {0: pytest.approx(PROMPT_SECONDS)}


@pytest.mark.parametrize(("dead", "sound"), [(1, 2), (2, 4), (4, 8), (2, 2)])
def test_streams_leave_a_failure_domain_that_dies_as_soon_as_ever(dead, sound):
    others = dict.fromkeys(range(1, dead), pytest.approx(PROMPT_SECONDS_OF_OTHERS))
    assert play([DEAD] * dead + [SOUND] * sound) == {0: pytest.approx(PROMPT_SECONDS), **others}


def test_stream_leaves_a_group_that_dies_after_a_shared_silence_as_soon_as_ever():
    alone = Silence(CALM_SECONDS + 3.0, float("inf"))
    left_at = play([[*silent_for(1.2), alone], silent_for(1.2), silent_for(1.2)])
    assert sorted(left_at) == [0]
    assert left_at[0] - 3.0 <= PROMPT_SECONDS + 0.02


@pytest.mark.parametrize("seed", range(30))
def test_streams_stay_in_sound_groups_and_leave_dead_ones(seed):
    """Silences of any share and length, and deaths among them."""
    drawn = random.Random(seed)
    count, share = drawn.randint(2, 10), drawn.random()
    ends = drawn.uniform(0.5, MAX_SOUND_SILENCE_SECONDS - 0.2)
    silences = [
        silent_for(ends + drawn.uniform(0.0, 0.1)) if drawn.random() < share else SOUND
        for _ in range(count)
    ]
    dead = set(drawn.sample(range(count), drawn.randint(0, count // 3)))
    for number in dead:
        silences[number] = DEAD
    silent = {number for number in range(count) if silences[number]}
    left_at = play(silences)
    is_shared = 2 * len(silent) > count
    assert set(left_at) == (dead if is_shared else silent)
    latest = MAX_SOUND_SILENCE_SECONDS if is_shared else PROMPT_SECONDS
    assert all(at <= latest + 0.04 for at in left_at.values())
