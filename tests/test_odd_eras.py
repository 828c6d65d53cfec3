"""Eras, waits and pages that other daemons and the store name."""

import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thorncleat_gateway.exceptions import RelayError
from thorncleat_gateway.ports import SettlingTimes
from thorncleat_gateway.store import relay_answer
from thorncleat_gateway.store import relay_server
from thorncleat_platform import store

from .odd_values import check_number
from .odd_values import check_time


@given(
    st.floats(),
    st.integers(-(2**63), 2**63 - 1),
    st.tuples(st.floats(), st.floats()),
    st.integers(-(2**63), 2**63 - 1),
    st.binary(),
)
def test_any_head_of_a_relay(age, era, times, configuration, rest):
    body = relay_answer.write(age, era, SettlingTimes(*times), configuration, rest)
    with contextlib.suppress(RelayError):
        answer = relay_answer.read("edge-1", 200, body, 1.0)
        check_time(answer.age)
        check_number(answer.position.era * 10**10)


@pytest.mark.parametrize("text", ["nan", "inf", "-inf", "1e400", "9" * 400, "x", "-1", "0.5"])
def test_wait_that_a_daemon_requests(text):
    """Guards against a time that is no number among the timers of the event loop."""
    with contextlib.suppress(ValueError):
        assert relay_server._read_wait({"wait": text}) <= relay_server.MAX_WAIT_SECONDS


@pytest.mark.parametrize("text", [str(2**63), "9" * 400, "9" * 5_000, "x"])
def test_era_that_a_daemon_requests(text):
    """Guards against an era that no answer can name, and that ends all eras to come."""
    with pytest.raises(ValueError, match=r"era|digits|int"):
        relay_server._read_position({"era": text, "since": "1"})


@pytest.mark.parametrize("text", ["-1", "x", "²", str(2**63), "9" * 400, "9" * 5_000])
def test_era_that_the_store_names(text):
    with pytest.raises(ValueError, match=r"Store-Era|digits"):
        store.KeyValueStore("10.0.0.1:1")._read_era({"Store-Era": text})


async def test_page_that_names_more_but_holds_nothing():
    """Guards against an IndexError that no reader of the store expects."""
    made = store.KeyValueStore("10.0.0.1:1")

    async def answer_empty(*_):
        body = json.dumps({"timestamp": 9, "entries": [], "has_more": True}).encode()
        return store._Answer("kv-range", 200, body, 1)

    made._read = answer_empty
    with pytest.raises(store.StoreUnavailableError, match="without items"):
        await made.snapshot()
