"""A daemon that pauses itself takes no endpoint for silent afterwards, in virtual time."""

import asyncio

import pytest

from thorncleat_gateway.peers.messages import Suspicion

from . import virtual_time
from .test_shared_silence import CALM_SECONDS
from .test_shared_silence import Silence
from .test_shared_silence import Streams
from .test_shared_silence import leader

# How long after the pause the answers of the endpoints may arrive.
ARRIVAL_SECONDS = [0.0, 0.1, 0.2]


def _pause(seconds: float) -> None:
    """Hold up the event loop, as a daemon does that is stopped."""
    asyncio.get_running_loop()._jumping_selector.virtual_seconds += seconds


async def _play(pause: float, arrival: float, groups: int, *, per_group: int = 1) -> Streams:
    """Pause a daemon that has streams in some groups.

    :param arrival: seconds after the pause until the first answers arrive.
    """
    silence = Silence(CALM_SECONDS, CALM_SECONDS + pause + arrival)
    streams = Streams([[silence]] * groups, per_group=per_group)
    asyncio.get_running_loop().call_later(CALM_SECONDS, _pause, pause)
    await streams.run(CALM_SECONDS + pause + 3.0)
    return streams


@pytest.mark.parametrize("arrival", ARRIVAL_SECONDS)
@pytest.mark.parametrize("pause", [0.4, 1.0, 1.4, 3.0])
@pytest.mark.parametrize("groups", [1, 2, 6])
def test_daemon_that_paused_suspects_no_group_and_ends_no_attempt(pause, arrival, groups):
    streams = virtual_time.run(_play(pause, arrival, groups))
    assert streams.left_at == {}
    assert streams.detector._peers.sent == []


@pytest.mark.parametrize("pause", [1.0, 3.0])
def test_stream_is_not_behind_its_group_after_a_pause_of_the_daemon(pause):
    """The events of one stream were read some ticks before those of another."""
    streams = virtual_time.run(_play(pause, 0.1, 1, per_group=4))
    assert streams.left_at == {}


async def _receive_after_a_pause(seconds_after: float) -> bool:
    """Return whether a daemon adopts a suspicion that it reads after its own pause.

    :param seconds_after: when it reads it, after the end of the pause.
    """
    streams = Streams([[]])
    detector = streams.detector
    await detector.start()
    await asyncio.sleep(CALM_SECONDS)
    _pause(1.2)
    await asyncio.sleep(seconds_after)
    detector._peers.receive("another", Suspicion("w0", leader(0).membership.group))
    is_suspected = detector.is_suspected(leader(0))
    await detector.stop()
    return is_suspected


@pytest.mark.parametrize(
    ("seconds_after", "expected"),
    [
        pytest.param(0.0, False, id="waited in the socket"),
        pytest.param(0.05, False, id="waited behind others"),
        pytest.param(0.2, True, id="sent after the pause"),
    ],
)
def test_suspicion_that_may_be_old_is_not_adopted(seconds_after, expected):
    """It may have come at the pause's beginning, and have been disproved since."""
    assert virtual_time.run(_receive_after_a_pause(seconds_after)) is expected


def test_connection_that_failed_during_a_pause_of_the_daemon_is_no_cause_to_suspect():
    async def suspect() -> list:
        streams = Streams([[]])
        await streams.detector.start()
        await asyncio.sleep(CALM_SECONDS)
        _pause(1.2)
        streams.detector.suspect(leader(0), "no connection: ConnectionTimeoutError")
        await streams.detector.stop()
        return streams.detector._peers.sent

    assert virtual_time.run(suspect()) == []
