"""The age of a daemon's copy of the store, and the effect of outages on it."""

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
POLL_INTERVAL_SECONDS = 0.01


class _Feed:
    """A store that a test changes."""

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
            Position(0, self.revision),
            [EndpointListed(endpoint) for endpoint in self.listed.values()],
        )

    async def changes(self, since: Position, wait: float) -> Changes:
        await self._call()
        for _ in range(round(wait / POLL_INTERVAL_SECONDS)):
            if self.revision != since.revision:
                break
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        await self._call()
        found = [change for rev, change in self.changes_made if rev > since.revision]
        return Changes(
            Position(self.era.newest, self.revision), found, 0.0 if found else 0.8 * wait
        )


async def _view(feed: _Feed) -> StoreView:
    clock = asyncio.get_running_loop().time
    view = StoreView(feed, clock, WAIT_SECONDS, lambda: 0.1)
    await view.start()
    return view


async def _ages_without_changes():
    feed = _Feed()
    view = await _view(feed)
    await asyncio.sleep(5.0)
    ages = []
    for _ in range(400):
        await asyncio.sleep(0.01)
        ages.append(view.age())
    await view.stop()
    return ages


def test_wait_without_changes_proves_more_than_its_beginning():
    ages = virtual_time.run(_ages_without_changes())
    assert max(ages) < 1.25 * WAIT_SECONDS + 4 * ANSWER_SECONDS
    # A fast clock of the store may have skipped this part of the wait.
    assert min(ages) >= 0.2 * WAIT_SECONDS


async def _age_after_an_early_answer():
    feed = _Feed()
    view = await _view(feed)
    await asyncio.sleep(5.0)
    started_at = asyncio.get_running_loop().time()
    feed.list("one")
    seen = asyncio.Event()
    view.on_change(seen.set)
    await seen.wait()
    age = view.age()
    waited = asyncio.get_running_loop().time() - started_at
    await view.stop()
    return age, waited


def test_answer_with_changes_proves_nothing_beyond_its_call():
    age, waited = virtual_time.run(_age_after_an_early_answer())
    assert age >= waited


async def _after_an_outage():
    """Return a store and its view at the end of an outage in which an entry expired."""
    feed = _Feed()
    feed.list("one")
    view = await _view(feed)
    await asyncio.sleep(ENTRY_REWRITE_SECONDS + 1.0)
    feed.down = True
    await asyncio.sleep(4.0)
    feed.remove("one")
    feed.down = False
    return feed, view


async def _is_listed_after_an_outage(is_rewritten: bool, seconds: float):
    """Return whether an entry that expired in an outage is listed some time after it."""
    feed, view = await _after_an_outage()
    await asyncio.sleep(1.0)
    if is_rewritten:
        feed.list("one")
    await asyncio.sleep(seconds - 1.0)
    listed = "one" in view.roster.endpoints
    await view.stop()
    return listed


@pytest.mark.parametrize(
    ("is_rewritten", "seconds", "is_listed"),
    [(False, 1.2, True), (False, 3.0, False), (True, 3.0, True)],
    ids=["may come back", "has not come back", "has come back"],
)
def test_entries_that_expired_in_an_outage_may_be_rewritten_for_a_while(
    is_rewritten, seconds, is_listed
):
    assert virtual_time.run(_is_listed_after_an_outage(is_rewritten, seconds)) is is_listed


async def _is_listed_without_an_outage():
    feed = _Feed()
    feed.list("one")
    view = await _view(feed)
    await asyncio.sleep(ENTRY_REWRITE_SECONDS + 1.0)
    feed.remove("one")
    await asyncio.sleep(0.3)
    listed = "one" in view.roster.endpoints
    await view.stop()
    return listed


def test_missing_entry_is_removed_at_once_without_an_outage():
    assert not virtual_time.run(_is_listed_without_an_outage())


async def _reported_draining():
    feed = _Feed()
    feed.list("one")
    view = await _view(feed)
    await asyncio.sleep(1.0)
    notified = asyncio.Event()
    view.on_change(notified.set)
    version = view.version
    view.mark_draining(Incarnation("one", None))
    found = view.roster.endpoints["one"].draining, notified.is_set(), view.version > version
    snapshot = view.snapshot_changes()
    await view.stop()
    return found, snapshot, feed.listed["one"]


def test_reported_draining_is_applied_here_but_not_sent_in_a_snapshot():
    found, snapshot, listed = virtual_time.run(_reported_draining())
    assert found == (True, True, True)
    assert snapshot == [EndpointListed(listed)]


async def _is_listed_after_rewrite_and_removal():
    """Return whether an endpoint is listed whose entry was rewritten and then removed."""
    feed, view = await _after_an_outage()
    await asyncio.sleep(0.5)
    feed.list("one")
    await asyncio.sleep(0.3)
    feed.remove("one")
    await asyncio.sleep(0.3)
    listed = "one" in view.roster.endpoints
    await view.stop()
    return listed


def test_entry_that_was_rewritten_since_the_stores_return_is_removed_at_once():
    assert not virtual_time.run(_is_listed_after_rewrite_and_removal())


class _SettlingFeed(_Feed):
    """A relay that reports its settling times."""

    async def snapshot(self) -> Changes:
        found = await super().snapshot()
        return dataclasses.replace(found, settling_times=SettlingTimes(0.0, 0.6))


async def _started_from_a_relay():
    feed = _SettlingFeed()
    feed.list("one")
    view = await _view(feed)
    await asyncio.sleep(0.1)
    settling = view.is_settled, view.settling_times().rewritten_in
    feed.remove("one")
    await asyncio.sleep(0.2)
    early = "one" in view.roster.endpoints
    await asyncio.sleep(0.4)
    late = "one" in view.roster.endpoints
    await view.stop()
    return settling, early, late


def test_starting_daemon_takes_over_the_settling_times_of_its_relay():
    (is_settled, rewritten_in), early, late = virtual_time.run(_started_from_a_relay())
    assert not is_settled
    assert 0.4 < rewritten_in <= 0.6
    assert early
    assert not late


async def _age_after_the_first_read_of_a_restored_store():
    """Return the age of a daemon's copy that it first read after a restore."""
    feed = _Feed()
    feed.list("one")
    # The daemon has observed the eras before and after the restore, but has read nothing yet.
    feed.era.observe(1)
    feed.era.observe(2)
    view = await _view(feed)
    await asyncio.sleep(0.1)
    age = view.age()
    await view.stop()
    return age


def test_restored_keys_are_not_trusted_until_the_operator_may_have_written_again():
    """The store may have lost the revocation of a key."""
    assert virtual_time.run(_age_after_the_first_read_of_a_restored_store()) > ENTRY_REWRITE_SECONDS


@pytest.mark.parametrize("turns", range(4))
async def test_cancelled_wait_ends_though_a_change_comes_with_it(turns):
    """Guards against a loop that goes on after it was cancelled."""
    view = StoreView(_Feed(), lambda: 0.0, WAIT_SECONDS, lambda: 0.0)
    waiting = asyncio.ensure_future(view.wait_change(60.0))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    view._notify_listeners()
    for _ in range(turns):
        await asyncio.sleep(0)
    if waiting.cancel():
        with pytest.raises(asyncio.CancelledError):
            await waiting
    else:
        assert await waiting
