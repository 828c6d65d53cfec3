"""Rules that decide whether a group is silent."""

import dataclasses

import pytest

from thorncleat_gateway.peers import silence
from thorncleat_gateway.peers.silence import Liveness
from thorncleat_gateway.settings import StreamSettings

NOW = 100.0
SETTINGS = StreamSettings(
    gaps=3.0, least_silence=0.25, most_silence=0.45, first_event=0.45, suspected=0.07
)


@dataclasses.dataclass
class Stream:
    started_at: float
    last_at: float = 0.0
    gap: float = 0.0


def without_event(started_ago):
    """Return a stream that has no event yet."""
    return Stream(NOW - started_ago)


def with_events(event_ago, gap=0.0):
    """Return a stream that has events."""
    return Stream(NOW - 60.0, NOW - event_ago, gap)


# The streams of a group; the first one is checked.
@pytest.mark.parametrize(
    ("streams", "stalled"),
    [
        pytest.param(
            [with_events(1.2), with_events(0.1)], True, id="others had events for over 1 s"
        ),
        pytest.param(
            [with_events(1.0), with_events(0.1)], False, id="others had events for less than 1 s"
        ),
        pytest.param(
            [with_events(1.2), with_events(0.3)], False, id="the others stopped soon after"
        ),
        pytest.param([with_events(9.0)], False, id="only stream of its group"),
        pytest.param(
            [without_event(9.0), with_events(0.1)], False, id="no event yet: may be queued"
        ),
    ],
)
def test_stream_is_stalled(streams, stalled):
    latest_event_at = max(stream.last_at for stream in streams)
    assert silence.is_stalled(streams[0], latest_event_at) is stalled


@pytest.mark.parametrize(
    ("stream", "allowed", "silent"),
    [
        pytest.param(without_event(0.44), 0.1, False, id="first event: no less time than a group"),
        pytest.param(without_event(0.46), 0.1, True, id="first event: late"),
        pytest.param(without_event(1.1), 1.2, False, id="first event: the route allows it"),
        pytest.param(without_event(1.3), 1.2, True, id="first event: later than its route allows"),
        pytest.param(with_events(0.44), 0.1, False, id="pause: no less time than a group"),
        pytest.param(with_events(0.46), 0.1, True, id="pause: too long"),
        pytest.param(with_events(1.1), 1.2, False, id="pause: the route allows it"),
        pytest.param(with_events(1.3), 1.2, True, id="pause: longer than its route allows"),
    ],
)
def test_plain_endpoint_is_silent_to_a_stream(stream, allowed, silent):
    allowance = silence.Allowance(allowed, allowed)
    assert silence.is_silent_alone(NOW, stream, allowance, SETTINGS) is silent


ALIVE, NO_FIRST, NO_FURTHER = Liveness.ALIVE, Liveness.NO_FIRST_EVENT, Liveness.NO_FURTHER_EVENT


# Streams of a group, seconds since its leader answered, whether it is suspected already.
@pytest.mark.parametrize(
    ("streams", "contact_ago", "is_suspected", "expected"),
    [
        pytest.param([without_event(0.44)], 9.0, False, ALIVE, id="first event may still come"),
        pytest.param([without_event(0.46)], 9.0, False, NO_FIRST, id="no first event in 0.45 s"),
        pytest.param([without_event(0.46)], 9.0, True, NO_FIRST, id="same timeout if suspected"),
        pytest.param([without_event(0.44)], 9.0, True, ALIVE, id="not earlier if suspected"),
        pytest.param([without_event(0.46)], 0.3, False, ALIVE, id="head of the answer arrived"),
        pytest.param(
            [without_event(0.1), without_event(0.46)],
            9.0,
            False,
            NO_FIRST,
            id="the oldest request counts",
        ),
        pytest.param([with_events(0.24)], 9.0, False, ALIVE, id="below the minimum of 0.25 s"),
        pytest.param([with_events(0.26)], 9.0, False, NO_FURTHER, id="gap unknown: above 0.25 s"),
        pytest.param([with_events(0.29, 0.1)], 9.0, False, ALIVE, id="below 3 average gaps"),
        pytest.param([with_events(0.31, 0.1)], 9.0, False, NO_FURTHER, id="above 3 average gaps"),
        pytest.param([with_events(0.44, 0.3)], 9.0, False, ALIVE, id="at most 0.45 s: below"),
        pytest.param([with_events(0.46, 0.3)], 9.0, False, NO_FURTHER, id="at most 0.45 s: above"),
        pytest.param(
            [with_events(0.9, 0.01), with_events(0.29, 0.1)],
            9.0,
            False,
            ALIVE,
            id="latest event and longest gap of all streams",
        ),
        pytest.param(
            [with_events(0.31, 0.1)], 0.2, False, ALIVE, id="leader answered another request"
        ),
        pytest.param(
            [with_events(0.1), without_event(9.0)],
            9.0,
            False,
            ALIVE,
            id="one stream waits, others have events",
        ),
        pytest.param(
            [with_events(0.31, 0.1), without_event(0.01)],
            9.0,
            False,
            NO_FURTHER,
            id="a new request does not count",
        ),
        pytest.param([with_events(0.06)], 9.0, True, ALIVE, id="suspected: below 0.07 s"),
        pytest.param([with_events(0.08)], 9.0, True, NO_FURTHER, id="suspected: above 0.07 s"),
        pytest.param([with_events(0.14, 0.1)], 9.0, True, ALIVE, id="suspected: below 1.5 gaps"),
        pytest.param(
            [with_events(0.16, 0.1)], 9.0, True, NO_FURTHER, id="suspected: above 1.5 gaps"
        ),
        pytest.param([with_events(0.5, 0.4)], 9.0, True, ALIVE, id="suspected: no upper bound"),
    ],
)
def test_group_is_silent(streams, contact_ago, is_suspected, expected):
    found = silence.classify_group(
        NOW, NOW - contact_ago, streams, SETTINGS, is_suspected=is_suspected
    )
    assert found is expected
    assert found.is_silent is (expected is not ALIVE)


@pytest.mark.parametrize(
    ("streams", "remote_contact_ago", "expected"),
    [
        pytest.param([without_event(0.46)], 0.14, ALIVE, id="busy: answers another daemon"),
        pytest.param(
            [without_event(0.46)], 0.16, NO_FIRST, id="answered another daemon too long ago"
        ),
        pytest.param(
            [with_events(0.31, 0.1)], 0.0, NO_FURTHER, id="streams of this daemon have stopped"
        ),
    ],
)
def test_group_that_answers_other_daemons_is_busy(streams, remote_contact_ago, expected):
    found = silence.classify_group(
        NOW,
        NOW - 9.0,
        streams,
        SETTINGS,
        is_suspected=False,
        remote_contact_at=NOW - remote_contact_ago,
    )
    assert found is expected


@pytest.mark.parametrize(
    ("started_ago", "expected"),
    [
        pytest.param(0.5, ALIVE, id="may wait for a slot"),
        pytest.param(1.3, NO_FIRST, id="longer than any wait for a slot"),
    ],
)
def test_full_group_may_let_a_request_wait(started_ago, expected):
    """Guards against the suspicion of busy groups, whose loss would fill the others as well."""
    liveness = silence.classify_group(
        NOW, NOW - 60.0, [without_event(started_ago)], SETTINGS, is_suspected=False, is_full=True
    )
    assert liveness is expected


@pytest.mark.parametrize(
    ("stream", "expected"),
    [
        pytest.param(without_event(0.06), False, id="request sent 0.06 s ago"),
        pytest.param(without_event(0.08), True, id="request sent 0.08 s ago"),
        pytest.param(with_events(0.06), False, id="event 0.06 s ago"),
        pytest.param(with_events(0.08), True, id="event 0.08 s ago"),
    ],
)
def test_stream_is_overdue(stream, expected):
    assert silence.is_overdue(NOW, stream, SETTINGS) is expected


@pytest.mark.parametrize(
    ("contact_ago", "expected"),
    [
        pytest.param(0.24, False, id="answered this daemon 0.24 s ago"),
        pytest.param(0.26, True, id="answered this daemon 0.26 s ago"),
        pytest.param(NOW, True, id="never answered this daemon"),
    ],
)
def test_suspicion_of_another_daemon_is_credible(contact_ago, expected):
    assert silence.is_credible(NOW, NOW - contact_ago, SETTINGS) is expected
