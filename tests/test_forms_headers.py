"""Guards the headers of requests, forwarded requests and answers against unintended changes."""

import multidict
import pytest

from thorncleat_gateway.ports import ForwardMeta
from thorncleat_platform.headers import PlatformHeaders

REQUEST_HEADERS = [
    ("Host", "shop.example"),
    ("Connection", "keep-alive, X-Hop"),
    ("X-Hop", "one"),
    ("Keep-Alive", "timeout=5"),
    ("Proxy-Authenticate", "x"),
    ("Proxy-Authorization", "x"),
    ("Proxy-Connection", "x"),
    ("TE", "trailers"),
    ("Trailer", "x"),
    ("Transfer-Encoding", "chunked"),
    ("Upgrade", "x"),
    ("Content-Length", "4"),
    ("Expect", "100-continue"),
    ("Authorization", "Token key-1"),
    ("X-Thorncleat-Attempt-Id", "r1"),
    ("X-Thorncleat-Deadline-Ms", "3000"),
    ("X-Thorncleat-Expect-Instance", "forged"),
    ("X-Thorncleat-Model", "large"),
    ("X-Thorncleat-Request-Priority", "0"),
    ("X-Thorncleat-Tenant", "forged"),
    ("X-Thorncleat-Token-Usage", "10,20"),
    ("Last-Event-Id", "3"),
    ("Content-Type", "text/plain"),
    ("Accept", "text/event-stream"),
    ("Accept-Encoding", "gzip"),
    ("User-Agent", "client/1"),
    ("Cookie", "a=b"),
    ("X-Twice", "1"),
    ("X-Twice", "2"),
    ("x-LOWER", "kept"),
]
ANSWER_HEADERS = [
    ("Connection", "close, X-Hop"),
    ("X-Hop", "one"),
    ("Transfer-Encoding", "chunked"),
    ("Content-Length", "4"),
    ("Content-Type", "text/event-stream"),
    ("Date", "x"),
    ("Server", "worker/1"),
    ("Set-Cookie", "a=b"),
    ("Set-Cookie", "c=d"),
    ("Retry-After", "2"),
    ("X-Thorncleat-Attempt-Id", "r1"),
    ("X-Thorncleat-Response-Stamp", "stamp"),
    ("X-Thorncleat-Not-Executed", "1"),
    ("X-Thorncleat-Token-Usage", "10,20"),
]


@pytest.mark.parametrize(
    "terms",
    [
        ForwardMeta(2.9996, "i-1", "growers", 3, "5"),
        ForwardMeta(0.0001, "i-1", None, 0),
    ],
    ids=["all", "least"],
)
def test_forwarded(terms, snapshot):
    assert [
        list(header) for header in PlatformHeaders().for_endpoint(REQUEST_HEADERS, terms)
    ] == snapshot


def test_returned(snapshot):
    assert [
        list(header) for header in PlatformHeaders().for_caller(200, ANSWER_HEADERS)
    ] == snapshot


def test_headers_for_the_daemon_are_not_forwarded_to_the_caller():
    headers = [*ANSWER_HEADERS, ("server-leaving", "1")]
    returned = PlatformHeaders().for_caller(200, headers)
    assert returned == PlatformHeaders().for_caller(200, ANSWER_HEADERS)
    refused = PlatformHeaders().for_caller(503, headers)
    assert refused == [header for header in returned if header != ("Retry-After", "2")]


@pytest.mark.parametrize(
    "headers",
    [
        {},
        dict(REQUEST_HEADERS),
        {"Authorization": "token  key-1 "},
        {"Authorization": "Bearer key-1"},
        {"Authorization": "Token"},
        {"X-Thorncleat-Deadline-Ms": "-5"},
        {"X-Thorncleat-Deadline-Ms": "0"},
        {"X-Thorncleat-Deadline-Ms": "1.5"},
        {"X-Thorncleat-Deadline-Ms": "soon"},
        {"X-Thorncleat-Token-Usage": "x,3"},
    ],
)
def test_what_callers_say(headers, snapshot):
    meta = PlatformHeaders().read_request(multidict.CIMultiDict(headers))
    assert (meta.id, meta.key, meta.deadline, meta.model, meta.last_event_id) == snapshot


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (200, {}),
        (200, {"X-Thorncleat-Response-Stamp": "s", "X-Thorncleat-Attempt-Id": "r1"}),
        (503, {"X-Thorncleat-Not-Executed": ""}),
        (421, {}),
        (200, {"Content-Encoding": "gzip"}),
        (200, {"Content-Encoding": "Identity"}),
        (200, {"Content-Encoding": ""}),
    ],
)
def test_what_endpoints_say(status, headers, snapshot):
    meta = PlatformHeaders().read_answer(status, multidict.CIMultiDict(headers))
    assert (meta.request_id, meta.signed, meta.not_run, meta.encoded) == snapshot


@pytest.mark.parametrize(
    ("method", "path", "asks"),
    [
        ("GET", "/thorncleat/readyz", True),
        ("POST", "/thorncleat/readyz", False),
        ("HEAD", "/thorncleat/readyz", False),
        ("GET", "/thorncleat/readyz/", False),
        ("GET", "/readyz", False),
    ],
)
def test_readiness_probe(method, path, asks):
    assert PlatformHeaders().is_readiness(method, path) is asks
