"""Which requests are quarantined, and what counts as a crash.

Guards against a quarantine of requests that were only running beside the cause of a crash.
"""

import pytest

from thorncleat_gateway.exceptions import ConnectionBreak
from thorncleat_gateway.ports import Position
from thorncleat_gateway.ports import RecordChanged
from thorncleat_gateway.requests import crash_watch
from thorncleat_gateway.requests import fingerprint
from thorncleat_gateway.requests.lifted_holds import ReleasedRequests
from thorncleat_gateway.requests.quarantine import CRASH_TTL_SECONDS
from thorncleat_gateway.requests.quarantine import LAST_ENDPOINT_DENIAL_SECONDS
from thorncleat_gateway.requests.quarantine import MAX_CRASHES
from thorncleat_gateway.requests.quarantine import MAX_REQUESTS_PER_CRASH
from thorncleat_gateway.requests.quarantine import MAY_HAVE_WAITED_POINTS
from thorncleat_gateway.requests.quarantine import QUARANTINE_SECONDS
from thorncleat_gateway.requests.quarantine import RAN_POINTS
from thorncleat_gateway.requests.quarantine import SAME_INSTANT_SECONDS
from thorncleat_gateway.requests.quarantine import Involvement
from thorncleat_gateway.requests.quarantine import Quarantine
from thorncleat_gateway.store.roster import Incarnation

from .virtual_time import SetClock

RAN = Involvement(RAN_POINTS, 0.05)
LONG = Involvement(RAN_POINTS, 1.5)
WAITED = Involvement(MAY_HAVE_WAITED_POINTS, 0.0)


@pytest.fixture
def clock():
    return SetClock()


@pytest.fixture
def quarantine(clock):
    return Quarantine(clock)


def crash(quarantine, clock, number, after=1.0, **requests):
    clock.now += after
    involved = {name.encode(): part for name, part in requests.items()}
    return quarantine.record_crash(Incarnation(f"w{number}", None), clock.now, involved)


def quarantined_names(quarantine):
    return sorted(name.decode() for name in quarantine.quarantined)


class TestFingerprint:
    def test_same_for_all_retries_of_a_request(self):
        first = fingerprint.of("growers", "Shop.example", "/chat/x?a=1", b"body")
        assert first == fingerprint.of("growers", "shop.example", "/chat/x?a=1", b"body")
        assert len(first) == fingerprint.DIGEST_BYTES

    @pytest.mark.parametrize(
        "parts",
        [
            pytest.param(("rivals", "h", "/x", b"b"), id="another workspace"),
            pytest.param(("growers", "i", "/x", b"b"), id="another host"),
            pytest.param(("growers", "h", "/y", b"b"), id="another path"),
            pytest.param(("growers", "h", "/x", b"c"), id="another body"),
            pytest.param(("growers", "h/", "x", b"b"), id="parts that join to the same"),
            pytest.param(("growers", "h", "/", b"xb"), id="a body that begins with the path's end"),
        ],
    )
    def test_different_requests_differ(self, parts):
        assert fingerprint.of(*parts) != fingerprint.of("growers", "h", "/x", b"b")


@pytest.mark.parametrize(
    ("broken", "streaming", "expected", "silent", "points"),
    [
        pytest.param(
            ConnectionBreak.AFTER_HEAD, True, False, False, RAN_POINTS, id="the request ran"
        ),
        pytest.param(
            ConnectionBreak.BEFORE_HEAD,
            True,
            False,
            False,
            MAY_HAVE_WAITED_POINTS,
            id="the request may have waited",
        ),
        pytest.param(
            ConnectionBreak.BEFORE_HEAD, False, False, False, RAN_POINTS, id="a plain service"
        ),
        pytest.param(None, True, False, False, 0, id="silence, a refusal, a failure status"),
        pytest.param(
            ConnectionBreak.AFTER_HEAD, True, True, False, 0, id="the endpoint is leaving"
        ),
        pytest.param(ConnectionBreak.AFTER_HEAD, True, False, True, 0, id="the group was silent"),
    ],
)
def test_points_of_an_attempt(broken, streaming, expected, silent, points):
    found = crash_watch.crash_points(broken, streaming=streaming, expected=expected, silent=silent)
    assert found == points


class TestLimit:
    def test_third_crash_quarantines_a_request(self, quarantine, clock):
        for number in range(2):
            crash(quarantine, clock, number, a=RAN)
        assert quarantined_names(quarantine) == []
        crash(quarantine, clock, 2, a=RAN)
        assert quarantined_names(quarantine) == ["a"]
        assert quarantine.quarantine_seconds_left([b"a"]) == QUARANTINE_SECONDS

    def test_request_that_may_have_waited_counts_half(self, quarantine, clock):
        for number in range(5):
            crash(quarantine, clock, number, a=WAITED)
        assert quarantined_names(quarantine) == []
        crash(quarantine, clock, 5, a=WAITED)
        assert quarantined_names(quarantine) == ["a"]

    def test_crash_reported_by_several_daemons_counts_once(self, quarantine, clock):
        for _ in range(5):
            crash(quarantine, clock, 1, a=RAN)
        crash(quarantine, clock, 2, a=RAN)
        assert quarantined_names(quarantine) == []

    @pytest.mark.parametrize("born", [(None, 7), (7, None), (7, 7)])
    def test_report_without_incarnation_is_the_same_crash(self, quarantine, clock, born):
        for value in born:
            quarantine.record_crash(Incarnation("w1", value), clock.now, {b"a": RAN})
        assert len(quarantine.recurring_crashes()) == 0

    def test_incarnations_of_an_endpoint_count_separately(self, quarantine, clock):
        for born in range(3):
            clock.now += 1.0
            quarantine.record_crash(Incarnation("w1", born), clock.now, {b"a": RAN})
        assert quarantined_names(quarantine) == ["a"]

    def test_simultaneous_crashes_count_once(self, quarantine, clock):
        """As in a power loss of a failure domain that serves a popular request."""
        for number in range(20):
            crash(quarantine, clock, number, after=0.001, a=RAN)
        assert quarantined_names(quarantine) == []

    def test_simultaneous_crashes_do_not_chain(self, quarantine, clock):
        for number in range(8):
            crash(quarantine, clock, number, after=0.9 * SAME_INSTANT_SECONDS, a=RAN)
        assert quarantined_names(quarantine) == ["a"]


class TestCause:
    def test_bystander_is_not_quarantined(self, quarantine, clock):
        crash(quarantine, clock, 1, a=RAN, b=LONG, c=LONG)
        crash(quarantine, clock, 2, a=RAN, b=RAN)
        crash(quarantine, clock, 3, a=RAN, b=LONG, d=LONG)
        assert quarantined_names(quarantine) == ["a"]

    def test_bystander_of_several_causes_is_released(self, quarantine, clock):
        """It is quarantined after three crashes until their causes show."""
        for number, cause in enumerate(("x", "y", "z")):
            crash(quarantine, clock, number, **{cause: RAN, "b": LONG})
        assert quarantined_names(quarantine) == ["b"]
        for number, cause in enumerate(("x", "x", "x", "y", "y", "y"), 3):
            crash(quarantine, clock, number, **{cause: RAN})
        assert quarantined_names(quarantine) == ["x", "y"]

    def test_two_causes_are_both_quarantined(self, quarantine, clock):
        for number in range(6):
            crash(quarantine, clock, number, **{"xy"[number % 2]: RAN})
        assert quarantined_names(quarantine) == ["x", "y"]

    def test_of_two_with_the_same_crashes_the_one_with_the_shorter_run(self, quarantine, clock):
        for number in range(3):
            crash(quarantine, clock, number, a=LONG, b=RAN)
        assert quarantined_names(quarantine) == ["b"]


class TestLastEndpoint:
    def test_request_is_denied_it_for_some_time_after_two_crashes(self, quarantine, clock):
        crash(quarantine, clock, 1, a=RAN)
        assert not quarantine.is_denied_last_endpoint(b"a")
        crash(quarantine, clock, 2, a=RAN, b=RAN)
        assert quarantine.is_denied_last_endpoint(b"a")
        assert not quarantine.is_denied_last_endpoint(b"b")
        clock.now += LAST_ENDPOINT_DENIAL_SECONDS
        assert not quarantine.is_denied_last_endpoint(b"a")


class TestWithdrawn:
    def test_endpoint_that_is_alive(self, quarantine, clock):
        for number in range(3):
            crash(quarantine, clock, number, a=RAN)
        crashed_at = clock.now
        assert not quarantine.record_endpoint_alive(Incarnation("w2", None), crashed_at - 0.5)
        assert quarantine.record_endpoint_alive(Incarnation("w2", None), crashed_at + 0.5)
        assert quarantined_names(quarantine) == []
        # A late report from a daemon that hasn't received the withdrawal.
        assert not quarantine.record_crash(Incarnation("w2", None), crashed_at, {b"a": RAN})
        assert quarantined_names(quarantine) == []

    def test_next_incarnation_does_not_clear_the_crash_of_the_previous(self, quarantine, clock):
        quarantine.record_crash(Incarnation("w1", 1), clock.now, {b"a": RAN})
        assert not quarantine.record_endpoint_alive(Incarnation("w1", 2), clock.now + 1.0)
        assert quarantine.has_crashed(Incarnation("w1", 1))

    def test_request_that_is_served(self, quarantine, clock):
        for number in range(3):
            crash(quarantine, clock, number, a=RAN, b=LONG)
        clock.now += 1.0
        assert quarantine.record_request_served(b"a", clock.now)
        assert quarantined_names(quarantine) == ["b"]
        assert not quarantine.record_crash(Incarnation("w2", None), clock.now - 1.0, {b"a": RAN})

    def test_popular_request_is_never_quarantined(self, quarantine, clock):
        for number in range(50):
            crash(quarantine, clock, number, popular=LONG)
            quarantine.record_request_served(b"popular", clock.now + 0.5)
            assert quarantined_names(quarantine) == []


class TestTime:
    def test_request_is_released_after_a_time_and_quarantined_at_its_next_crash(
        self, quarantine, clock
    ):
        for number in range(3):
            crash(quarantine, clock, number, a=RAN)
        clock.now += QUARANTINE_SECONDS + 1.0
        quarantine.expire()
        assert quarantined_names(quarantine) == []
        crash(quarantine, clock, 3, a=RAN)
        assert quarantined_names(quarantine) == ["a"]

    def test_crashes_are_forgotten(self, quarantine, clock):
        for number in range(3):
            crash(quarantine, clock, number, a=RAN)
        clock.now += CRASH_TTL_SECONDS + 1.0
        quarantine.expire()
        assert quarantine.is_empty
        crash(quarantine, clock, 3, a=RAN)
        assert quarantined_names(quarantine) == []

    def test_memory_is_bounded_and_keeps_quarantined_requests(self, quarantine, clock):
        for number in range(3):
            crash(quarantine, clock, number, a=RAN)
        for number in range(2 * MAX_CRASHES):
            requests = {f"r{number}-{index}": LONG for index in range(2 * MAX_REQUESTS_PER_CRASH)}
            crash(quarantine, clock, 100 + number, after=0.5, **requests)
        assert quarantined_names(quarantine) == ["a"]
        assert sum(map(len, quarantine._crashes.values())) == MAX_CRASHES
        assert len(quarantine._crashes_by_request) <= MAX_CRASHES * MAX_REQUESTS_PER_CRASH


class View:
    """The records of the store, as a daemon sees them."""

    def __init__(self):
        self.records = {}
        self.records_version = 0

    def position_of(self, record):
        return Position(1, record.revision)

    def on_change(self, listener):
        self._listener = listener

    def write(self, key, revision):
        self.records[key] = RecordChanged(key, b"", revision)
        self.records_version += 1
        self._listener()


class TestRelease:
    def test_operator_releases_a_request(self, quarantine, clock):
        view = View()
        releases = ReleasedRequests(view, quarantine)
        for number in range(3):
            crash(quarantine, clock, number, a=RAN, b=RAN)
        clock.now += 1.0
        view.write(f"thorncleat/lifted/{b'b'.hex()}", 7)
        assert quarantined_names(quarantine) == ["a"]
        view.write(f"thorncleat/lifted/{b'a'.hex()}", 8)
        assert quarantined_names(quarantine) == []
        # Each write of the record releases the request once.
        for number in range(3, 6):
            crash(quarantine, clock, number, a=RAN)
        view.write("thorncleat/daemons/edge-1", 9)
        assert quarantined_names(quarantine) == ["a"]
        clock.now += 1.0
        view.write(f"thorncleat/lifted/{b'a'.hex()}", 10)
        assert quarantined_names(quarantine) == []
        assert releases

    def test_record_that_names_no_request_releases_nothing(self, quarantine, clock):
        view = View()
        releases = ReleasedRequests(view, quarantine)
        for number in range(3):
            crash(quarantine, clock, number, a=RAN)
        view.write("thorncleat/lifted/other words", 7)
        assert quarantined_names(quarantine) == ["a"]
        assert releases


def test_recurring_crashes_are_those_of_requests_with_several(quarantine, clock):
    crash(quarantine, clock, 1, a=RAN, b=LONG)
    assert quarantine.recurring_crashes() == []
    crash(quarantine, clock, 2, a=RAN, c=LONG)
    assert [set(crash.requests) for crash in quarantine.recurring_crashes()] == [{b"a"}, {b"a"}]
    assert quarantine.recurring_crashes([b"b", b"c"]) == []
    assert len(quarantine.recurring_crashes([b"c", b"a"])) == 2
