"""The adapter's handling of the era that each answer of the store names."""

import pytest

from thorncleat_gateway.exceptions import HistoryCompactedError
from thorncleat_gateway.exceptions import LeaseExpiredError
from thorncleat_gateway.exceptions import StoreOutcomeUnknownError
from thorncleat_gateway.exceptions import StoreUnavailableError
from thorncleat_gateway.ports import Lease
from thorncleat_gateway.ports import Position
from thorncleat_platform.store import KeyValueStore

from . import recording
from .recording import Answer

PAGE = {"timestamp": 9, "entries": [], "has_more": False}
WATCHED = {"timestamp": 43, "events": []}


def answer(era, document=None, status=200):
    return Answer(status, document, headers={"Store-Era": str(era)})


class _PreparedStore:
    """A store with prepared answers, and the adapter's client of it."""

    def __init__(self, server) -> None:
        self.server = server
        self.store = KeyValueStore(server.address)

    async def set_answers(self, *answers):
        """Let the client observe era 3, and set the answers to its next calls."""
        self.server.answers = [answer(3, PAGE), *answers]
        await self.store.snapshot()
        self.server.calls.clear()


@pytest.fixture
async def prepared():
    async with recording.recorder() as server:
        made = _PreparedStore(server)
        yield made
        await made.store.close()


async def test_position_has_the_era_of_its_answer(prepared):
    prepared.server.answers = [answer(3, PAGE), answer(3, WATCHED)]
    assert (await prepared.store.snapshot()).position == Position(3, 9)
    assert (await prepared.store.changes(Position(3, 9), 0.0)).position == Position(3, 43)


async def test_store_without_a_named_era_keeps_one_era(prepared):
    prepared.server.answers = [Answer(document=PAGE), Answer(document=WATCHED)]
    first = (await prepared.store.snapshot()).position
    assert (await prepared.store.changes(first, 0.0)).position == Position(first.era, 43)


async def test_changes_of_a_later_era_do_not_continue_an_earlier_one(prepared):
    await prepared.set_answers(answer(4, WATCHED))
    with pytest.raises(HistoryCompactedError, match="era 4"):
        await prepared.store.changes(Position(3, 9), 0.0)


async def test_position_of_an_earlier_era_is_not_sent(prepared):
    await prepared.set_answers(answer(4, {"lease_id": 7}))
    await prepared.store.grant(2.0)
    prepared.server.calls.clear()
    with pytest.raises(HistoryCompactedError):
        await prepared.store.changes(Position(3, 9), 0.0)
    assert prepared.server.calls == []


async def test_late_answer_of_an_earlier_era_is_rejected(prepared):
    await prepared.set_answers(answer(2, PAGE))
    with pytest.raises(StoreUnavailableError, match="era 2"):
        await prepared.store.snapshot()


async def test_pages_of_two_eras_are_rejected(prepared):
    more = {"timestamp": 9, "entries": [_entry("other/x")], "has_more": True}
    prepared.server.answers = [answer(3, more), answer(4, PAGE)]
    with pytest.raises(StoreUnavailableError, match="era"):
        await prepared.store.snapshot()


def _entry(key):
    return {"private_key": key, "value": "", "revision": 8, "created": 6}


@pytest.mark.parametrize("era", ["x", "-1", "", "1.5"])
async def test_answer_with_an_invalid_era_is_rejected(prepared, era):
    prepared.server.answers = [Answer(document=PAGE, headers={"Store-Era": era})]
    with pytest.raises(StoreUnavailableError, match="Store-Era"):
        await prepared.store.snapshot()


class TestLeases:
    async def test_lease_has_the_era_of_its_grant(self, prepared):
        prepared.server.answers = [answer(3, {"lease_id": 7})]
        assert await prepared.store.grant(2.0) == Lease(3, 7)

    async def test_renewal_answered_in_another_era_fails(self, prepared):
        """In another era the id may belong to another daemon's lease."""
        await prepared.set_answers(answer(4, {"ttl_ms": 1}))
        with pytest.raises(LeaseExpiredError, match="era"):
            await prepared.store.renew(Lease(3, 7))

    @pytest.mark.parametrize("call", ["renew", "put", "create"])
    async def test_lease_of_an_earlier_era_is_not_used(self, prepared, call):
        await prepared.set_answers(answer(4, PAGE))
        await prepared.store.snapshot()
        prepared.server.calls.clear()
        send = {
            "renew": lambda: prepared.store.renew(Lease(3, 7)),
            "put": lambda: prepared.store.put("thorncleat/a", b"", Lease(3, 7)),
            "create": lambda: prepared.store.create("thorncleat/a", b"", Lease(3, 7)),
        }[call]
        with pytest.raises(LeaseExpiredError):
            await send()
        assert prepared.server.calls == []

    async def test_lease_of_an_earlier_era_is_not_revoked(self, prepared):
        await prepared.set_answers(answer(4, PAGE))
        await prepared.store.snapshot()
        prepared.server.calls.clear()
        await prepared.store.end(Lease(3, 7))
        assert prepared.server.calls == []


class TestConditions:
    async def test_revision_of_an_earlier_era_never_matches(self, prepared):
        """In another era the revision may belong to another item."""
        await prepared.set_answers(answer(4, PAGE))
        await prepared.store.snapshot()
        prepared.server.calls.clear()
        assert not await prepared.store.commit({"a": b""}, [], {"b": Position(3, 5)})
        assert prepared.server.calls == []

    async def test_outcome_of_a_write_answered_in_another_era_is_unknown(self, prepared):
        await prepared.set_answers(answer(4, {"revision": 40}))
        with pytest.raises(StoreOutcomeUnknownError, match="era"):
            await prepared.store.commit({"a": b""}, [], {"b": Position(3, 5)})
