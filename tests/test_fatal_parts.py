"""Parts of prompts that crash endpoints: what is read of them, and when they are quarantined.

Guards against a quarantine of sound requests that share a part with fatal ones.
"""

import multidict
import pytest

from thorncleat_gateway.requests import fingerprint
from thorncleat_gateway.requests.quarantine import PROBE_DELAY_SECONDS
from thorncleat_gateway.requests.quarantine import QUARANTINE_SECONDS
from thorncleat_gateway.requests.quarantine import RAN_POINTS
from thorncleat_gateway.requests.quarantine import Involvement
from thorncleat_gateway.requests.quarantine import Quarantine
from thorncleat_gateway.store.roster import Incarnation
from thorncleat_platform.headers import MAX_PARTS
from thorncleat_platform.headers import PROMPT_PARTS
from thorncleat_platform.headers import PlatformHeaders

from .virtual_time import SetClock

BRIEF = Involvement(RAN_POINTS, 0.05)
LONG = Involvement(RAN_POINTS, 1.5)
FATAL = fingerprint.of_part("narrator", "dead")
SHARED = fingerprint.of_part("narrator", "5c1e")
OTHER = fingerprint.of_part("narrator", "77aa")
PART_CRASHES = 4


@pytest.fixture
def clock():
    return SetClock()


@pytest.fixture
def quarantine(clock):
    return Quarantine(clock)


def crash(quarantine, clock, keys, number):
    clock.now += 0.3
    quarantine.record_crash(Incarnation(f"w{number}", None), clock.now, keys)


def crash_often(quarantine, clock, keys, count=PART_CRASHES):
    for number in range(count):
        own = b"request %d" % number
        crash(quarantine, clock, {own: BRIEF, **keys}, number)


def is_held(quarantine, *keys):
    return bool(quarantine.quarantine_seconds_left(keys))


@pytest.mark.parametrize(
    ("header", "parts"),
    [
        ("", ()),
        ("e4402b7d:250", ()),
        ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        ("5C1E:1, 91bd : 2,e440:3", ("5c1e", "91bd")),
        ("5c1e:1,5c1e:1,e440:3", ("5c1e",)),
        ("5c1e:1,no hex:2,e440:3", ()),
        ("5c1e:1,,e440:3", ()),
        (",".join(f"{number:x}:1" for number in range(10_000)), None),
    ],
    ids=["none", "own", "two", "case and space", "repeated", "no hex", "empty", "ten thousand"],
)
def test_all_parts_but_the_last_are_read(header, parts):
    headers = multidict.CIMultiDict({PROMPT_PARTS: header} if header else {})
    if parts is None:
        parts = tuple(f"{number:x}" for number in range(MAX_PARTS))
    assert PlatformHeaders().read_request(headers).prompt_parts == parts


def test_digests_of_parts_are_told_from_those_of_requests():
    assert fingerprint.is_part(FATAL)
    assert not fingerprint.is_part(fingerprint.of("w", "h", "/", b"dead"))
    assert fingerprint.of_part("desk", "dead") != FATAL


def test_part_that_is_at_several_crashes_is_quarantined(quarantine, clock):
    crash_often(quarantine, clock, {FATAL: BRIEF}, PART_CRASHES - 1)
    assert not is_held(quarantine, b"new", FATAL)
    crash(quarantine, clock, {b"last": BRIEF, FATAL: BRIEF}, 9)
    assert is_held(quarantine, b"new", FATAL)
    assert not is_held(quarantine, b"new", SHARED)


def test_part_that_was_served_since_is_not_quarantined(quarantine, clock):
    crash_often(quarantine, clock, {SHARED: BRIEF}, 2)
    quarantine.record_request_served(SHARED, clock.now)
    crash_often(quarantine, clock, {SHARED: BRIEF}, 3)
    assert not is_held(quarantine, SHARED)


def test_only_requests_with_all_parts_that_can_not_be_told_apart_are_held(quarantine, clock):
    crash_often(quarantine, clock, {FATAL: BRIEF, SHARED: BRIEF})
    assert is_held(quarantine, b"new", FATAL, SHARED)
    assert not is_held(quarantine, b"new", SHARED)
    quarantine.record_request_served(SHARED, clock.now)
    assert is_held(quarantine, b"new", FATAL)
    assert not is_held(quarantine, b"new", SHARED)


def test_part_of_a_request_that_ran_long_is_not_the_cause(quarantine, clock):
    crash_often(quarantine, clock, {FATAL: BRIEF, OTHER: LONG})
    assert is_held(quarantine, FATAL)
    assert not is_held(quarantine, OTHER)


def test_repeated_request_is_held_rather_than_its_parts(quarantine, clock):
    for number in range(PART_CRASHES):
        crash(quarantine, clock, {b"same": BRIEF, SHARED: BRIEF}, number)
    assert is_held(quarantine, b"same", SHARED)
    assert not is_held(quarantine, b"new", SHARED)


def test_part_that_is_no_cause_yet_hides_no_request_that_is_one(quarantine, clock):
    for number, involvement in enumerate((BRIEF, BRIEF, LONG)):
        crash(quarantine, clock, {b"same": involvement, SHARED: BRIEF}, number)
    assert is_held(quarantine, b"same")


def _rank(number):
    return lambda _key: number


def test_one_request_of_each_of_two_daemons_shows_whether_a_part_is_fatal(quarantine, clock):
    crash_often(quarantine, clock, {FATAL: BRIEF})
    keys = (b"new", FATAL)
    assert quarantine.take_probe(keys, _rank(0)) is None
    clock.now += PROBE_DELAY_SECONDS
    assert quarantine.take_probe(keys, _rank(1)) is None
    assert quarantine.take_probe(keys, _rank(0)) == FATAL
    assert quarantine.take_probe(keys, _rank(0)) is None
    clock.now += QUARANTINE_SECONDS / 2
    quarantine.expire()
    assert quarantine.take_probe(keys, _rank(0)) is None
    assert quarantine.take_probe(keys, _rank(2)) is None


def test_request_with_another_suspect_is_no_probe(quarantine, clock):
    crash_often(quarantine, clock, {FATAL: BRIEF, OTHER: LONG})
    clock.now += PROBE_DELAY_SECONDS
    assert quarantine.take_probe((b"new", FATAL, OTHER), _rank(0)) is None
    assert quarantine.take_probe((b"new", FATAL, SHARED), _rank(0)) == FATAL


def test_operator_releases_a_part(quarantine, clock):
    crash_often(quarantine, clock, {FATAL: BRIEF})
    quarantine.release(FATAL)
    assert not is_held(quarantine, FATAL)
