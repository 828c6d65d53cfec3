"""Reading the store's changes from other daemons: the log, the codec, the server and the feed."""

import asyncio
import contextlib
import time

import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from thorncleat_core.exceptions import DecodeError
from thorncleat_gateway.exceptions import HistoryCompactedError
from thorncleat_gateway.exceptions import RelayError
from thorncleat_gateway.exceptions import StoreUnavailableError
from thorncleat_gateway.ports import Changes
from thorncleat_gateway.ports import ConfigurationChanged
from thorncleat_gateway.ports import EndpointListed
from thorncleat_gateway.ports import EndpointRemoved
from thorncleat_gateway.ports import Position
from thorncleat_gateway.ports import RecordChanged
from thorncleat_gateway.ports import SettlingTimes
from thorncleat_gateway.settings import RelaySettings
from thorncleat_gateway.store import change_codec
from thorncleat_gateway.store import relay_answer
from thorncleat_gateway.store.change_log import ChangeLog
from thorncleat_gateway.store.freshness import ENTRY_REWRITE_SECONDS
from thorncleat_gateway.store.relay_feed import RelayFeed
from thorncleat_gateway.store.relay_server import RelayServer
from thorncleat_gateway.store.relays import Daemon
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Membership
from thorncleat_gateway.store.serving import Engine
from thorncleat_gateway.store.serving import EngineModel
from thorncleat_gateway.store.serving import Route
from thorncleat_gateway.store.serving import RouteKind
from thorncleat_gateway.store.serving import Service
from thorncleat_gateway.store.serving import ServingConfiguration
from thorncleat_gateway.store.serving import Split
from thorncleat_gateway.store.serving import Workspace
from thorncleat_gateway.store.store_era import StoreEra
from thorncleat_gateway.store.view import StoreView

ROUTE = Route(
    "chat", "h", "/c/", RouteKind.STREAMING, 3.0, 0.5, 0.2, 1, (Split("desk", 1.0),), 2, False, True
)
CONFIGURATION = ServingConfiguration(
    7,
    (ROUTE,),
    {"desk": Service("desk", "/", Engine(4, (EngineModel("large", 2),)))},
    (Workspace("growers", ("k",), 1),),
)
MEMBER = Endpoint(
    "i-1", "desk", "10.0.0.1:1", "z", membership=Membership(GroupId(3, "g"), 1, GroupState.OPEN)
)
SETTLED = SettlingTimes(0.5, 0.25)
CHANGES = [
    ConfigurationChanged(CONFIGURATION),
    EndpointListed(MEMBER),
    EndpointRemoved("i-2"),
    RecordChanged("key", b"\x01\xff", 3, 2),
    RecordChanged("key", None, 4),
]


class TestLog:
    @given(st.lists(st.integers(0, 3), max_size=30), st.integers(1, 12), st.integers(0, 40))
    def test_applying_the_returned_changes_yields_the_newest_state(self, sizes, limit, since):
        log, revision, written = ChangeLog(limit), 5, []
        log.restart_at(Position(2, revision))
        for size in sizes:
            batch = [
                RecordChanged("abc"[number % 3], None, revision + number + 1)
                for number in range(size)
            ]
            revision += size
            written += batch
            log.add(Position(2, revision), batch)
        found = log.since(Position(2, since))
        if found is None:
            assert since < 5 or len(sizes) > limit
            return
        newest = {change.key: change.revision for change in written}
        state = {change.key: change.revision for change in written if change.revision <= since}
        state.update({change.key: change.revision for change in found})
        assert state == newest

    def test_changes_before_its_beginning_are_unknown(self):
        log = ChangeLog()
        log.restart_at(Position(2, 10))
        assert log.since(Position(2, 9)) is None
        assert log.since(Position(2, 10)) == []

    def test_dropped_changes_are_unknown(self):
        log = ChangeLog(limit=2)
        for revision in (1, 2, 3):
            log.add(Position(2, revision), [EndpointRemoved(str(revision))])
        assert log.since(Position(2, 0)) is None
        assert log.since(Position(2, 1)) == [EndpointRemoved("2"), EndpointRemoved("3")]

    def test_higher_revision_of_an_earlier_era_is_unknown(self):
        log = ChangeLog()
        log.restart_at(Position(2, 10))
        assert log.since(Position(1, 40)) is None


class TestCodec:
    @pytest.mark.parametrize("copies", [1, 200], ids=["plain", "compressed"])
    def test_decoding_restores_the_changes(self, copies):
        assert change_codec.decode(change_codec.encode(9, CHANGES * copies)) == (
            9,
            CHANGES * copies,
        )

    @given(st.binary(max_size=60))
    def test_undecodable_bytes_are_an_error(self, data):
        with pytest.raises(DecodeError):
            change_codec.decode(data)

    def test_too_many_decompressed_bytes_are_an_error(self, monkeypatch):
        monkeypatch.setattr(change_codec, "MAX_BYTES", 1000)
        with pytest.raises(DecodeError, match="more than 1000 bytes"):
            change_codec.decode(change_codec.encode(1, CHANGES * 200))


def _encoded(age, body, settling_times=SETTLED):
    return relay_answer.write(age, 3, settling_times, 7, body)


class TestRejectedAnswers:
    """The answers of relays after which the store is asked."""

    BODY = change_codec.encode(9, CHANGES)

    @pytest.mark.parametrize(
        ("status", "body", "fault"),
        [
            (200, _encoded(0.0, BODY), None),
            (200, _encoded(1.1, BODY), None),
            (200, _encoded(1.11, BODY), "relay e1 is itself 1.110 s behind"),
            (200, _encoded(-0.1, BODY), "is itself -0.100 s behind"),
            (200, _encoded(float("inf"), BODY), "is itself inf s behind"),
            (200, _encoded(float("nan"), BODY), "is itself nan s behind"),
            (200, _encoded(0.0, BODY[:-1]), "relay e1: .+"),
            (200, _encoded(0.0, b""), "relay e1: .+"),
            (
                200,
                _encoded(0.0, BODY, SettlingTimes(10.1, 0.0)),
                "keeps missing endpoints for 10.1",
            ),
            (200, _encoded(0.0, BODY, SettlingTimes(0.0, float("nan"))), "endpoints for nan s"),
            (200, b"short", "relay e1 answered 200"),
            (404, _encoded(0.0, BODY), "relay e1 answered 404"),
            (409, b"", "relay e1 answered 409"),
        ],
        ids=[
            "up to date",
            "just not too old",
            "too old",
            "of the future",
            "has read nothing",
            "of no age",
            "cut off",
            "without changes",
            "settles too late",
            "settles at no time",
            "without an age",
            "not registered there",
            "is behind",
        ],
    )
    def test_relay_without_a_current_answer_is_rejected(self, status, body, fault):
        if fault is None:
            found = relay_answer.read("e1", status, body, 1.1)
            assert (found.position, found.changes) == (Position(3, 9), CHANGES)
            assert (found.settling_times, found.configuration) == (SETTLED, 7)
            return
        with pytest.raises(RelayError, match=fault):
            relay_answer.read("e1", status, body, 1.1)


SETTINGS = RelaySettings(wait=0.05, patience=0.1, oldest=0.4, avoid=0.2)
STORE_WAIT = 0.05
FIRST = Position(0, 1)


class _Store:
    """A store that a test changes; it counts the calls."""

    def __init__(self) -> None:
        self.down = False
        self.written = [EndpointListed(MEMBER)]
        self.calls = 0
        self.era = StoreEra()

    @property
    def position(self) -> Position:
        return Position(self.era.newest, len(self.written))

    def _count_call(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnavailableError("down")

    async def snapshot(self) -> Changes:
        self._count_call()
        return Changes(self.position, list(self.written))

    async def changes(self, since: Position, wait: float) -> Changes:
        self._count_call()
        if self.position == since:
            await asyncio.sleep(wait)
        return Changes(self.position, self.written[since.revision :])


class _Site:
    """A relay and a daemon that asks it, each with a store of its own."""

    def __init__(self) -> None:
        self.relay_store, self.own_store = _Store(), _Store()
        self.relay = Daemon("relay", "127.0.0.1", 0)
        self.registered = [self.relay]
        self.hang = False
        self.view = StoreView(self.relay_store, time.monotonic, STORE_WAIT, lambda: 0.0)
        self._read = asyncio.Event()
        self.view.on_change(self._read.set)
        self.ahead = 0.0
        # A relay knows the registered daemons only after its first read.
        self.server = RelayServer(self.view, lambda: self.registered if self.view.version else [])
        self.sources = [self.relay]
        self.listed: list[Daemon] = []
        self.feed = RelayFeed(
            SETTINGS, self.own_store, lambda: self.sources, self._listed, self._clock
        )

    async def start(self, *, reads: bool = True) -> None:
        self.runner = web.ServerRunner(
            web.Server(self._handle), handler_cancellation=True, shutdown_timeout=0.05
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.relay = Daemon("relay", "127.0.0.1", self.runner.addresses[0][1])
        self.sources = [self.relay]
        if reads:
            await self.read()

    async def read(self) -> None:
        await self.view.start()
        await self._read.wait()

    async def _listed(self) -> list[Daemon]:
        return self.listed

    def _clock(self) -> float:
        return time.monotonic() + self.ahead

    async def _handle(self, request):
        if self.hang:
            await asyncio.Event().wait()
        return await self.server.handle(request)

    async def stop(self) -> None:
        await self.feed.close()
        await self.view.stop()
        await self.runner.cleanup()


@contextlib.asynccontextmanager
async def site(*, reads: bool = True):
    made = _Site()
    await made.start(reads=reads)
    try:
        yield made
    finally:
        await made.stop()


async def _until(condition) -> None:
    """Wait until a condition holds."""
    end = time.monotonic() + 10.0
    while not condition():
        assert time.monotonic() < end
        await asyncio.sleep(0.005)


class TestAsking:
    async def test_changes_come_from_the_relay_without_a_call_to_the_store(self):
        async with site() as made:
            made.relay_store.written += CHANGES
            found = await made.feed.changes(FIRST, STORE_WAIT)
            assert list(found.changes) == CHANGES
            assert found.position == Position(0, 1 + len(CHANGES))
            assert made.own_store.calls == 0

    async def test_proven_time_is_never_later_than_that_of_the_relay(self):
        async with site() as made:
            sent_at = time.monotonic()
            found = await made.feed.changes(FIRST, STORE_WAIT)
            answered_at = time.monotonic()
            assert not found.changes
            assert sent_at + found.proven_seconds <= made.view.current_as_of
            assert found.proven_seconds < answered_at - sent_at

    async def test_store_is_asked_after_a_relay_timed_out(self):
        async with site() as made:
            made.hang = True
            made.own_store.written += CHANGES
            started_at = time.monotonic()
            found = await made.feed.changes(FIRST, STORE_WAIT)
            assert list(found.changes) == CHANGES
            assert time.monotonic() - started_at < 1.0
            await made.feed.changes(FIRST, STORE_WAIT)
            assert made.own_store.calls == 2

    async def test_store_is_asked_after_the_relay_lost_it(self):
        async with site() as made:
            made.relay_store.down = True
            for _ in range(100):
                await made.feed.changes(FIRST, STORE_WAIT)
                if made.own_store.calls:
                    break
            assert made.own_store.calls == 1

    async def test_relay_without_the_history_is_asked_for_a_snapshot(self):
        async with site() as made:
            made.relay_store.written += CHANGES
            await _until(lambda: made.view.configuration is not None)
            with pytest.raises(HistoryCompactedError, match="does not remember"):
                await made.feed.changes(Position(0, 0), STORE_WAIT)
            found = await made.feed.snapshot()
            assert found.position == Position(0, 1 + len(CHANGES))
            assert made.own_store.calls == 0

    async def test_failed_relay_is_retried_later(self):
        async with site() as made:
            made.hang = True
            await made.feed.changes(FIRST, STORE_WAIT)
            made.hang = False
            made.ahead = SETTINGS.avoid
            await made.feed.changes(FIRST, STORE_WAIT)
            assert made.own_store.calls == 1

    async def test_next_relay_is_asked_at_once_if_the_first_is_behind(self):
        async with site() as made, site() as behind:
            behind.relay_store.down = True
            await _until(lambda: behind.view.age() > SETTINGS.oldest)
            made.sources = [
                Daemon("behind", behind.relay.host, behind.relay.port),
                made.relay,
            ]
            made.relay_store.written += CHANGES
            found = await made.feed.changes(FIRST, STORE_WAIT)
            assert list(found.changes) == CHANGES
            assert made.own_store.calls == 0

    async def test_answer_of_a_later_era_does_not_continue_an_earlier_one(self):
        async with site() as made:
            made.relay_store.era.observe(1)
            made.relay_store.written += CHANGES
            await _until(lambda: made.view.configuration is not None)
            with pytest.raises(HistoryCompactedError):
                await made.feed.changes(Position(0, 50), STORE_WAIT)
            await made.feed.snapshot()
            assert made.own_store.calls == 0
            assert made.feed.era.newest == 1

    async def test_store_is_asked_if_the_relay_is_in_an_earlier_era(self):
        async with site() as made:
            made.own_store.era.observe(1)
            # The relay observes the era here, but can't read the store in it.
            made.relay_store.down = True
            found = await made.feed.changes(Position(1, 1), STORE_WAIT)
            assert found.position == Position(1, 1)
            assert made.own_store.calls == 1
            assert made.relay_store.era.newest == 1

    async def test_late_answer_of_an_earlier_era_is_rejected(self):
        async with site() as made:
            made.own_store.era.observe(1)
            await made.feed.snapshot()
            assert made.own_store.calls == 1

    async def test_only_registered_daemons_get_an_answer(self):
        async with site() as made:
            made.registered = [Daemon("another", "127.0.0.9", 1)]
            await made.feed.changes(FIRST, STORE_WAIT)
            assert made.own_store.calls == 1
            assert made.server.answered_count == 0

    async def test_snapshot_comes_from_a_relay_that_the_records_name(self):
        async with site() as made:
            made.sources, made.listed = [], [made.relay]
            made.relay_store.written += CHANGES
            await _until(lambda: made.view.configuration is not None)
            found = await made.feed.snapshot()
            assert made.own_store.calls == 0
            assert found.position == Position(0, 1 + len(CHANGES))
            # The snapshot lacks the record that was written and removed.
            assert found.changes == CHANGES[:2]
            assert found.proven_seconds <= 0.0

    async def test_relay_that_starts_at_the_same_time_answers_after_its_first_read(self):
        async with site(reads=False) as made:
            made.relay_store.written += CHANGES
            request = asyncio.ensure_future(made.feed.snapshot())
            await asyncio.sleep(0.02)
            await made.read()
            found = await request
            assert made.own_store.calls == 0
            assert found.changes == CHANGES[:2]

    async def test_snapshot_comes_from_the_store_without_a_known_relay(self):
        async with site() as made:
            made.sources = []
            await made.feed.snapshot()
            assert made.own_store.calls == 1

    async def test_store_is_asked_if_the_relay_has_read_nothing(self):
        async with site() as made:
            found = await made.feed.snapshot()
            assert list(found.changes) == made.own_store.written
            assert made.own_store.calls == 1

    async def test_next_relay_is_asked_if_the_first_is_unreachable(self):
        async with site() as made:
            made.relay_store.written += CHANGES
            await _until(lambda: made.view.configuration is not None)
            made.sources = [Daemon("away", "127.0.0.1", 1), made.relay]
            await made.feed.snapshot()
            assert made.own_store.calls == 0

    async def test_endpoint_that_is_missing_at_the_relay_stays_missing_in_a_snapshot(self):
        async with site() as made:
            # After a restore of the store, missing entries may still be written again.
            made.relay_store.era.observe(1)
            made.relay_store.written += [CHANGES[0], EndpointRemoved(MEMBER.id)]
            await _until(lambda: made.view.configuration is not None)
            assert made.view.roster.missing
            found = await made.feed.snapshot()
            assert found.changes[-2:] == [EndpointListed(MEMBER), EndpointRemoved(MEMBER.id)]
            left = made.view.settling_times().rewritten_in
            assert left <= found.settling_times.rewritten_in <= ENTRY_REWRITE_SECONDS

    async def test_failure_of_relay_and_store_is_an_error(self):
        async with site() as made:
            made.hang = made.own_store.down = True
            with pytest.raises(StoreUnavailableError):
                await made.feed.changes(FIRST, STORE_WAIT)
