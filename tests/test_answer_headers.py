"""What the adapter reads in the headers of a worker's answer: a table of cases."""

import multidict
import pytest

from thorncleat_core import log_events
from thorncleat_platform.headers import PlatformHeaders


def read(status, *headers):
    return PlatformHeaders().read_answer(status, multidict.CIMultiDict(headers))


@pytest.fixture
def logged(monkeypatch):
    found = []
    monkeypatch.setattr(
        log_events, "_observers", [lambda event, fields: found.append((event.name, fields))]
    )
    return found


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        ("3", 3.0),
        ("0", 0.0),
        ("0.25", 0.25),
        ("2.", 2.0),
        (" 4 ", 4.0),
        ("3600", 3600.0),
        ("1800000000", 1_800_000_000.0),
    ],
)
def test_time_is_read(logged, value, seconds):
    assert read(503, ("retry-after", value)).retry_after == seconds
    assert logged == []


@pytest.mark.parametrize(
    "value",
    [
        "Fri, 04 Dec 2026 08:00:00 GMT",
        "-1",
        "+1",
        "1e3",
        "nan",
        "inf",
        "",
        "soon",
        "1,5",
        "٣",
        "9" * 40,
    ],
)
def test_time_that_cannot_be_read_is_none_and_logged(logged, value):
    assert read(503, ("Retry-After", value)).retry_after is None
    assert logged == [("bad_header", {"header": "Retry-After", "value": value[:40]})]


def test_longest_time_counts(logged):
    headers = [("Retry-After", value) for value in ("1", "later", "5", "2")]
    assert read(503, *headers).retry_after == 5.0
    assert len(logged) == 1


@pytest.mark.parametrize("status", [200, 400, 421, 429, 500, 502, 504])
def test_time_counts_with_one_status_only(logged, status):
    assert read(status, ("Retry-After", "3")).retry_after is None
    assert read(status, ("Retry-After", "x")).retry_after is None
    assert logged == []


@pytest.mark.parametrize(
    ("status", "headers", "draining"),
    [
        (200, [("Server-Leaving", "1")], True),
        (503, [("server-leaving", " 1 ")], True),
        (500, [("Server-Leaving", "1")], True),
        (200, [], False),
        (200, [("Server-Leaving", "0")], False),
        (200, [("Server-Leaving", "true")], False),
        (200, [("Server-Leaving", "")], False),
        # another worker has the address
        (421, [("Server-Leaving", "1")], False),
    ],
)
def test_draining(status, headers, draining):
    assert read(status, *headers).draining is draining


def test_endpoint_at_fault():
    assert read(503, ("At-Server", "i-2")).speaks_for == "i-2"
    assert read(503).speaks_for is None


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        ("1", 1.0),
        ("1.3", 1.3),
        ("1.3 ", 1.3),
        ("0", 0.0),
        ("0.0001", 0.0001),
        ("1000000000", 1e9),
    ],
)
@pytest.mark.parametrize("status", [200, 429, 500, 503])
def test_limit_is_read(logged, status, value, limit):
    meta = read(status, ("server-limit", value))
    assert (meta.rate_limit, meta.names_rate_limit) == (limit, True)
    assert logged == []


@pytest.mark.parametrize("value", ["1,3", "-1", "+1", "1e9", "nan", "inf", "", "one", "9" * 40])
def test_limit_that_cannot_be_read_is_logged_and_still_known_to_stand_there(logged, value):
    meta = read(200, ("Server-Limit", value))
    assert (meta.rate_limit, meta.names_rate_limit) == (None, True)
    assert logged == [("bad_header", {"header": "Server-Limit", "value": value[:40]})]


def test_lowest_of_two_limits_counts(logged):
    assert read(200, ("Server-Limit", "3"), ("Server-Limit", "1.5")).rate_limit == 1.5


def test_answer_without_a_limit_names_none(logged):
    meta = read(200)
    assert (meta.rate_limit, meta.names_rate_limit, meta.misdirected) == (None, False, False)
    assert read(421, ("Server-Limit", "1")).misdirected


def test_caller_gets_no_limit():
    headers = [("Server-Limit", "1"), ("Content-Type", "text/plain")]
    assert PlatformHeaders().for_caller(200, headers) == [("Content-Type", "text/plain")]
