"""Odd headers of callers and of endpoints' answers."""

import asyncio
import math

import pytest

from thorncleat_gateway.ports import ForwardMeta
from thorncleat_platform.headers import PlatformHeaders

from .odd_values import FORWARDED
from .odd_values import ODD_TEXT
from .odd_values import check_headers
from .recording import Answer
from .test_forms_refusals import EVENTS
from .test_forms_refusals import PATHS
from .test_forms_refusals import STAMP
from .test_forms_refusals import call
from .test_forms_refusals import endpoints

DAY_SECONDS = 86_400


@pytest.mark.parametrize("text", ODD_TEXT)
@pytest.mark.parametrize(
    "name",
    [
        "X-Thorncleat-Deadline-Ms",
        "X-Thorncleat-Token-Usage",
        "X-Thorncleat-Length-Hint",
        "X-Thorncleat-Prompt-Prefix",
        "Authorization",
    ],
)
def test_odd_headers_of_callers(name, text):
    """Guards against a request that is answered 500 because of one of its headers."""
    meta = PlatformHeaders().read_request({name: text})
    if meta.deadline is not None:
        check_headers(
            PlatformHeaders().for_endpoint([], ForwardMeta(meta.deadline, "i-1", None, 0))
        )
        assert 0 <= meta.deadline <= DAY_SECONDS
        asyncio.Timeout(meta.deadline)


@pytest.mark.parametrize("text", ["inf", "1e400", "9" * 400, "nan", "x"])
def test_invalid_deadline_is_treated_like_a_missing_one(text):
    meta = PlatformHeaders().read_request({"X-Thorncleat-Deadline-Ms": text})
    assert meta.deadline is None


@pytest.mark.parametrize("text", ODD_TEXT)
@pytest.mark.parametrize("status", [200, 421, 503])
def test_odd_headers_of_answers(text, status):
    names = ("Retry-After", "Server-Limit", "X-Thorncleat-Cold-Ms", "Server-Leaving")
    meta = PlatformHeaders().read_answer(status, dict.fromkeys(names, text))
    for number in (meta.retry_after, meta.rate_limit, meta.cold_for):
        assert number is None or 0 <= number < math.inf


@pytest.mark.parametrize("name", ["X-Thorncleat-Attempt-Id", "x-thorncleat-attempt-id"])
def test_connection_header_cannot_remove_the_id_of_the_request(name):
    """Guards against an answer that can't be matched, as its request had no id."""
    headers = [("Connection", f"close, {name}, X-Hop"), ("X-Hop", "1"), (name, "r1")]
    found = PlatformHeaders().for_endpoint(headers, FORWARDED)
    assert (name, "r1") in found
    assert "X-Hop" not in dict(found)


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("text", ["inf", "1e400", "9" * 400, "nan", "1e300"])
async def test_request_with_an_odd_deadline_is_served(text, kind):
    """Guards against a request that is answered 500 because of its deadline."""
    async with endpoints(Answer(body=EVENTS, headers=STAMP)) as (daemon, _):
        answer = await call(daemon, PATHS[kind], **{"X-Thorncleat-Deadline-Ms": text})
        assert (answer["status"], answer["whole"]) == (200, True)


@pytest.mark.parametrize("kind", PATHS)
async def test_request_whose_connection_header_names_its_id_is_served(kind):
    """Guards against 502 for an answer that can't be matched."""
    async with endpoints(Answer(body=EVENTS, headers=STAMP)) as (daemon, server):
        answer = await call(daemon, PATHS[kind], Connection="X-Thorncleat-Attempt-Id")
        assert (answer["status"], answer["whole"]) == (200, True)
        forwarded = {name.lower(): value for name, value in server.calls[0]["headers"]}
        assert forwarded["x-thorncleat-attempt-id"] == "r1"
