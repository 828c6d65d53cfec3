"""A daemon's copy of the store: how old it may be, and what an outage does to it."""

import asyncio
import dataclasses

import pytest

from thorncleat_gateway.exceptions import StoreUnavailableError
from thorncleat_gateway.ports import Changes
from thorncleat_gateway.ports import EndpointListed
from thorncleat_gateway.ports import EndpointRemoved
from thorncleat_gateway.ports import Position
from thorncleat_gateway.ports import SettlingTimes
from thorncleat_gateway.store.freshness import ENTRY_REWRITE_SECONDS
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import Incarnation
from thorncleat_gateway.store.store_era import StoreEra
from thorncleat_gateway.store.view import StoreView

from . import virtual_time

WAIT_SECONDS = 1.0
ANSWER_SECONDS = 0.004
LOOK_SECONDS = 0.01


class _Feed:
    """A store whose changes a test makes."""

    def __init__(self) -> None:
        self.down = False
        self.revision = 1
        self.era = StoreEra()
        self.listed: dict[str, Endpoint] = {}
        self.changes_made: list[tuple[int, object]] = []

    def list(self, name: str) -> None:
        self.listed[name] = Endpoint(name, "desk", f"{name}:1", "a")
        self._change(EndpointListed(self.listed[name]))

    def remove(self, name: str) -> None:
        del self.listed[name]
        self._change(EndpointRemoved(name))

    def _change(self, change) -> None:
        self.revision += 1
        self.changes_made.append((self.revision, change))

    async def _call(self) -> None:
        await asyncio.sleep(ANSWER_SECONDS)
        if self.down:
            raise StoreUnavailableError("down")

    async def snapshot(self) -> Changes:
        await self._call()
        return Changes(
            Position(0, self.revision), [EndpointListed(one) for one in self.listed.values()]
        )

    async def changes(self, since: Position, wait: float) -> Changes:
        await self._call()
        for _ in range(round(wait / LOOK_SECONDS)):
            if self.revision != since.revision:
                break
            await asyncio.sleep(LOOK_SECONDS)
        await self._call()
        found = [one for rev, one in self.changes_made if rev > since.revision]
        return Changes(
            Position(self.era.newest, self.revision), found, 0.0 if found else 0.8 * wait
        )


async def _view(feed: _Feed) -> StoreView:
    clock = asyncio.get_running_loop().time
    view = StoreView(feed, clock, WAIT_SECONDS, lambda: 0.1)
    await view.start()
    return view


async def _ages_on_a_calm_day():
    feed = _Feed()
    view = await _view(feed)
    await asyncio.sleep(5.0)
    ages = []
    for _ in range(400):
        await asyncio.sleep(0.01)
        ages.append(view.age())
    await view.stop()
    return ages


def test_a_wait_without_a_change_proves_more_than_its_beginning():
    ages = virtual_time.run(_ages_on_a_calm_day())
    assert max(ages) < 1.25 * WAIT_SECONDS + 4 * ANSWER_SECONDS
    # the part of the wait that a quick clock of the store's may have left out
    assert min(ages) >= 0.2 * WAIT_SECONDS


async def _age_after_an_early_answer():
    feed = _Feed()
    view = await _view(feed)
    await asyncio.sleep(5.0)
    begun = asyncio.get_running_loop().time()
    feed.list("one")
    seen = asyncio.Event()
    view.on_change(seen.set)
    await seen.wait()
    age = view.age()
    waited = asyncio.get_running_loop().time() - begun
    await view.stop()
    return age, waited


def test_an_answer_with_changes_proves_only_when_it_was_asked_for():
    age, waited = virtual_time.run(_age_after_an_early_answer())
    assert age >= waited


async def _after_an_outage():
    """Return a store and a view of it at the end of an outage in which an entry ran out."""
    feed = _Feed()
    feed.list("one")
    view = await _view(feed)
    await asyncio.sleep(ENTRY_REWRITE_SECONDS + 1.0)
    feed.down = True
    await asyncio.sleep(4.0)
    feed.remove("one")
    feed.down = False
    return feed, view


async def _outage(back: bool, moment: float):
    """Entries run out in an outage; return whether one is listed some time after it."""
    feed, view = await _after_an_outage()
    await asyncio.sleep(1.0)
    if back:
        feed.list("one")
    await asyncio.sleep(moment - 1.0)
    listed = "one" in view.roster.endpoints
    await view.stop()
    return listed


@pytest.mark.parametrize(
    ("back", "moment", "listed"),
    [(False, 1.2, True), (False, 3.0, False), (True, 3.0, True)],
    ids=["may come back", "has not come back", "has come back"],
)
def test_entries_that_ran_out_in_an_outage_have_some_time_to_come_back(back, moment, listed):
    assert virtual_time.run(_outage(back, moment)) is listed


async def _gone_without_an_outage():
    feed = _Feed()
    feed.list("one")
    view = await _view(feed)
    await asyncio.sleep(ENTRY_REWRITE_SECONDS + 1.0)
    feed.remove("one")
    await asyncio.sleep(0.3)
    listed = "one" in view.roster.endpoints
    await view.stop()
    return listed


def test_without_an_outage_a_missing_entry_is_gone_at_once():
    assert not virtual_time.run(_gone_without_an_outage())


async def _said_draining():
    feed = _Feed()
    feed.list("one")
    view = await _view(feed)
    await asyncio.sleep(1.0)
    woken = asyncio.Event()
    view.on_change(woken.set)
    version = view.version
    view.mark_draining(Incarnation("one", None))
    found = view.roster.endpoints["one"].draining, woken.is_set(), view.version > version
    told = view.snapshot_changes()
    await view.stop()
    return found, told, feed.listed["one"]


def test_what_an_endpoint_says_is_noticed_here_and_not_told_to_others_as_the_list():
    found, told, listed = virtual_time.run(_said_draining())
    assert found == (True, True, True)
    assert told == [EndpointListed(listed)]


async def _gone_after_it_was_written_again():
    """Return whether an endpoint is listed that came back after an outage and then left."""
    feed, view = await _after_an_outage()
    await asyncio.sleep(0.5)
    feed.list("one")
    await asyncio.sleep(0.3)
    feed.remove("one")
    await asyncio.sleep(0.3)
    listed = "one" in view.roster.endpoints
    await view.stop()
    return listed


def test_entry_that_was_written_since_the_stores_return_is_gone_at_once():
    assert not virtual_time.run(_gone_after_it_was_written_again())


class _ToldFeed(_Feed):
    """A relay that tells what is left of its times."""

    async def snapshot(self) -> Changes:
        found = await super().snapshot()
        return dataclasses.replace(found, settling_times=SettlingTimes(0.0, 0.6))


async def _started_from_a_relay():
    feed = _ToldFeed()
    feed.list("one")
    view = await _view(feed)
    await asyncio.sleep(0.1)
    known = view.is_settled, view.settling_times().rewritten_in
    feed.remove("one")
    await asyncio.sleep(0.2)
    kept = "one" in view.roster.endpoints
    await asyncio.sleep(0.4)
    left = "one" in view.roster.endpoints
    await view.stop()
    return known, kept, left


def test_daemon_that_starts_keeps_missing_entries_for_what_is_left_at_its_relay():
    (settled, rewritten_in), kept, left = virtual_time.run(_started_from_a_relay())
    assert not settled
    assert 0.4 < rewritten_in <= 0.6
    assert kept
    assert not left


async def _first_reading_of_a_restored_store():
    """Return how old a daemon's configuration counts that it first read after a restore."""
    feed = _Feed()
    feed.list("one")
    # this daemon has called the store before that came back from a copy, and read nothing yet
    feed.era.observe(1)
    feed.era.observe(2)
    view = await _view(feed)
    await asyncio.sleep(0.1)
    age = view.age()
    await view.stop()
    return age


def test_keys_of_a_copy_are_not_trusted_before_the_operator_can_have_written_again():
    """A key may have been taken away in what the store lost, and nobody knows better."""
    assert virtual_time.run(_first_reading_of_a_restored_store()) > ENTRY_REWRITE_SECONDS
