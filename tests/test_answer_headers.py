"""How the adapter parses the headers of a worker's answer."""

import multidict
import pytest

from thorncleat_core import log_events
from thorncleat_platform.headers import PlatformHeaders


def read_answer(status, *headers):
    return PlatformHeaders().read_answer(status, multidict.CIMultiDict(headers))


@pytest.fixture
def logged(monkeypatch):
    events = []
    monkeypatch.setattr(
        log_events, "_observers", [lambda event, fields: events.append((event.name, fields))]
    )
    return events


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
def test_retry_after_in_seconds_is_parsed(logged, value, seconds):
    assert read_answer(503, ("retry-after", value)).retry_after == seconds
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
def test_invalid_retry_after_is_none_and_logged(logged, value):
    assert read_answer(503, ("Retry-After", value)).retry_after is None
    assert logged == [("bad_header", {"header": "Retry-After", "value": value[:40]})]


def test_longest_retry_after_counts(logged):
    headers = [("Retry-After", value) for value in ("1", "later", "5", "2")]
    assert read_answer(503, *headers).retry_after == 5.0
    assert len(logged) == 1


@pytest.mark.parametrize("status", [200, 400, 421, 429, 500, 502, 504])
def test_retry_after_counts_with_status_503_only(logged, status):
    assert read_answer(status, ("Retry-After", "3")).retry_after is None
    assert read_answer(status, ("Retry-After", "x")).retry_after is None
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
        # Another worker answers at the address.
        (421, [("Server-Leaving", "1")], False),
    ],
)
def test_draining(status, headers, draining):
    assert read_answer(status, *headers).draining is draining


def test_id_of_the_faulty_endpoint():
    assert read_answer(503, ("At-Server", "i-2")).speaks_for == "i-2"
    assert read_answer(503).speaks_for is None


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
def test_rate_limit_is_parsed(logged, status, value, limit):
    meta = read_answer(status, ("server-limit", value))
    assert (meta.rate_limit, meta.names_rate_limit) == (limit, True)
    assert logged == []


@pytest.mark.parametrize("value", ["1,3", "-1", "+1", "1e9", "nan", "inf", "", "one", "9" * 40])
def test_invalid_rate_limit_is_logged_and_reported_as_present(logged, value):
    meta = read_answer(200, ("Server-Limit", value))
    assert (meta.rate_limit, meta.names_rate_limit) == (None, True)
    assert logged == [("bad_header", {"header": "Server-Limit", "value": value[:40]})]


def test_lowest_rate_limit_counts(logged):
    assert read_answer(200, ("Server-Limit", "3"), ("Server-Limit", "1.5")).rate_limit == 1.5


def test_answer_without_a_rate_limit(logged):
    meta = read_answer(200)
    assert (meta.rate_limit, meta.names_rate_limit, meta.misdirected) == (None, False, False)
    assert read_answer(421, ("Server-Limit", "1")).misdirected


def test_rate_limit_is_not_forwarded_to_the_caller():
    headers = [("Server-Limit", "1"), ("Content-Type", "text/plain")]
    assert PlatformHeaders().for_caller(200, headers) == [("Content-Type", "text/plain")]
