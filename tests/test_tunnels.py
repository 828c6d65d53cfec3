"""Connections to endpoints by way of another daemon."""

import asyncio
import contextlib
import socket
import types

import aiohttp
import pytest

from thorncleat_gateway import planned_stop
from thorncleat_gateway.exceptions import TunnelError
from thorncleat_gateway.peers.messages import TunnelOffer
from thorncleat_gateway.peers.reach import Reach
from thorncleat_gateway.planned_stop import PlannedStop
from thorncleat_gateway.store.relays import Daemon
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import Roster
from thorncleat_gateway.tunnels import frames
from thorncleat_gateway.tunnels import offers
from thorncleat_gateway.tunnels import server as tunnel_server
from thorncleat_gateway.tunnels.connector import AttemptPath
from thorncleat_gateway.tunnels.connector import PathConnector
from thorncleat_gateway.tunnels.connector import current_path
from thorncleat_gateway.tunnels.frames import FrameKind
from thorncleat_gateway.tunnels.frames import FrameReader
from thorncleat_gateway.tunnels.frames import Opening
from thorncleat_gateway.tunnels.offers import Carrier
from thorncleat_gateway.tunnels.offers import TunnelOffers
from thorncleat_gateway.tunnels.server import TunnelServer
from thorncleat_gateway.tunnels.transport import Tunnel
from thorncleat_gateway.tunnels.transport import open_tunnel

OPENING = Opening("edge-1", "w0", 7)
TIMEOUT_SECONDS = 2.0


class View:
    def __init__(self, address: str) -> None:
        self.roster = Roster()
        self.roster.put(Endpoint("w0", "narrator", address, "a", born=7), 0.0)


class Caller(asyncio.Protocol):
    """Records what the user of a tunnel sees."""

    def __init__(self) -> None:
        self.received = b""
        self.lost: list[Exception | None] = []
        self.ended = asyncio.Event()
        self.transport = None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data) -> None:
        self.received += data

    def connection_lost(self, exc) -> None:
        self.lost.append(exc)
        self.ended.set()


class Connection(asyncio.Transport):
    """A connection to a daemon that carries tunnels."""

    def is_closing(self) -> bool:
        return False

    def write(self, data) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def abort(self) -> None:
        pass


class Fleet:
    """A daemon that carries tunnels and an endpoint whose behaviour a test chooses."""

    def __init__(self, behave) -> None:
        self._behave = behave
        self.endpoint_ended = asyncio.Event()
        self.losses = 0
        self.is_in_touch = True

    async def __aenter__(self):
        self._endpoint = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._endpoint.sockets[0].getsockname()
        self.view = View(f"{host}:{port}")
        self.reach = Reach(asyncio.get_running_loop().time)
        self.server = TunnelServer(
            self.view,
            lambda: {"edge-1": Daemon("edge-1", "127.0.0.1", 1)},
            0.2,
            self.reach,
            asyncio.get_running_loop().time,
            self._confirms_reach,
        )
        await self.server.open(("127.0.0.1", 0))
        self.address = self.server._server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *_):
        await self.server.close()
        self._endpoint.close()

    async def _serve(self, reader, writer):
        try:
            await self._behave(reader, writer)
            await reader.read()
        except ConnectionError:
            pass
        finally:
            self.endpoint_ended.set()

    async def _confirms_reach(self, service, since):
        return self.is_in_touch

    def _record_loss(self):
        self.losses += 1

    async def open(self, opening=OPENING) -> Caller:
        caller = Caller()
        await open_tunnel(self.address, opening, caller, self._record_loss, TIMEOUT_SECONDS)
        return caller


async def _answer(reader, writer):
    assert await reader.readexactly(4) == b"ping"
    writer.write(b"pong")


async def _answer_and_end(reader, writer):
    await _answer(reader, writer)
    writer.close()


async def _answer_and_break(reader, writer):
    await _answer(reader, writer)
    await asyncio.sleep(0.05)
    tunnel_server.abort_with_reset(writer.transport)


async def _within(event):
    await asyncio.wait_for(event.wait(), TIMEOUT_SECONDS)


async def _until(condition):
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


async def test_bytes_pass_both_ways():
    async with Fleet(_answer) as fleet:
        caller = await fleet.open()
        caller.transport.write(b"ping")
        await _until(lambda: caller.received == b"pong")
        assert caller.lost == []


async def test_end_of_the_endpoint_is_no_loss_of_the_tunnel():
    async with Fleet(_answer_and_end) as fleet:
        caller = await fleet.open()
        caller.transport.write(b"ping")
        await _within(caller.ended)
        assert (caller.received, caller.lost, fleet.losses) == (b"pong", [None], 0)


async def test_reset_of_the_endpoint_is_passed_on_as_a_reset():
    async with Fleet(_answer_and_break) as fleet:
        caller = await fleet.open()
        caller.transport.write(b"ping")
        await _within(caller.ended)
        assert isinstance(caller.lost[0], ConnectionResetError)
        assert fleet.losses == 0


async def test_loss_of_the_carrying_daemon_is_told_from_the_end_of_the_endpoint():
    async with Fleet(_answer) as fleet:
        caller = await fleet.open()
        await fleet.server.close()
        await _within(caller.ended)
        # As the break of a connection, which the client library knows; the loss is told apart.
        assert isinstance(caller.lost[0], ConnectionResetError)
        assert fleet.losses == 1


async def test_caller_that_leaves_ends_the_connection_to_the_endpoint():
    async with Fleet(_answer) as fleet:
        caller = await fleet.open()
        caller.transport.abort()
        await _within(fleet.endpoint_ended)
        await _until(lambda: not fleet.server.running)
        assert fleet.losses == 0


async def test_carrier_that_stood_still_passes_nothing_of_an_abandoned_attempt_on():
    """Guards against repeats that wait in the kernel of the daemon that carries them."""
    received = bytearray()

    async def record(reader, _writer):
        while data := await reader.read(100):
            received.extend(data)

    async with Fleet(record) as fleet:
        caller = await fleet.open()
        # Neither side of the tunnel runs between these two.
        caller.transport.write(b"ping")
        tunnel_server.abort_with_reset(caller.transport)
        await _within(fleet.endpoint_ended)
        assert received == b""


async def test_end_is_not_seen_while_bytes_are_handled():
    """The HTTP library resumes reading while its parser handles the last bytes."""

    class Resuming(Caller):
        is_handling = False

        def data_received(self, data) -> None:
            self.is_handling = True
            self.transport.pause_reading()
            self.transport.resume_reading()
            super().data_received(data)
            self.is_handling = False

        def connection_lost(self, exc) -> None:
            assert not self.is_handling
            super().connection_lost(exc)

    caller = Resuming()
    tunnel = Tunnel(OPENING, caller, lambda: None)
    tunnel.connection_made(Connection())
    tunnel.data_received(frames.encode_frame(FrameKind.OPENED))
    last = frames.encode_frame(FrameKind.DATA, b"last") + frames.encode_frame(FrameKind.ENDED)
    tunnel.data_received(last)
    await _within(caller.ended)
    assert (caller.received, caller.lost) == (b"last", [None])


async def test_paused_caller_gets_everything_later():
    async def flood(_reader, writer):
        writer.write(b"x" * 1_000_000)
        writer.close()

    async with Fleet(flood) as fleet:
        caller = await fleet.open()
        caller.transport.pause_reading()
        await asyncio.sleep(0.1)
        held = len(caller.received)
        caller.transport.resume_reading()
        await _within(caller.ended)
        assert held < 500_000
        assert (len(caller.received), caller.lost) == (1_000_000, [None])


@pytest.mark.parametrize(
    ("opening", "cause"),
    [
        (Opening("edge-9", "w0", 7), "unknown endpoint"),
        (Opening("edge-1", "w9", 7), "unknown endpoint"),
        (Opening("edge-1", "w0", 8), "unknown endpoint"),
    ],
    ids=["unregistered daemon", "unlisted endpoint", "another incarnation"],
)
async def test_only_registered_daemons_reach_only_listed_endpoints(opening, cause):
    async with Fleet(_answer) as fleet:
        with pytest.raises(TunnelError, match=cause):
            await fleet.open(opening)
        assert fleet.server.refused_count == 1


async def test_tunnels_are_bounded(monkeypatch):
    monkeypatch.setattr(tunnel_server, "MAX_TUNNELS", 2)
    async with Fleet(_answer) as fleet:
        held = [await fleet.open() for _ in range(2)]
        assert fleet.server.room == 0
        with pytest.raises(TunnelError, match="no room"):
            await fleet.open()
        assert all(caller.lost == [] for caller in held)


async def test_carrier_that_is_cut_off_refuses_at_once():
    async with Fleet(_answer) as fleet:
        for number in range(3):
            fleet.reach.record_failure(Endpoint(f"w{number}", "narrator", "", "a"))
        with pytest.raises(TunnelError, match="no contact") as caught:
            await fleet.open()
        assert not caught.value.is_endpoints


@pytest.mark.parametrize("in_touch", [True, False])
async def test_carrier_without_contact_says_nothing_of_the_endpoint(in_touch):
    async with Fleet(_answer) as fleet:
        fleet._endpoint.close()
        await fleet._endpoint.wait_closed()
        fleet.is_in_touch = in_touch
        with pytest.raises(TunnelError) as caught:
            await fleet.open()
        assert caught.value.is_endpoints == in_touch


async def test_planned_stop_finishes_carried_tunnels(monkeypatch):
    monkeypatch.setattr(planned_stop, "ACCEPT_SECONDS", 0.0)
    async with Fleet(_answer) as fleet:
        caller = await fleet.open()
        frontend = types.SimpleNamespace(running=0, stopping=False, closed=False, is_known=True)
        stop = PlannedStop(
            frontend,
            types.SimpleNamespace(stopping=False),
            8.0,
            asyncio.get_running_loop().time,
            fleet.server,
        )
        stopping = asyncio.ensure_future(stop.wait())
        await asyncio.sleep(0.15)
        with pytest.raises(TunnelError, match="no room"):
            await fleet.open()
        assert (stopping.done(), caller.lost) == (False, [])
        caller.transport.close()
        await asyncio.wait_for(stopping, TIMEOUT_SECONDS)


class Channel:
    """The datagrams of a daemon whose only peer offers tunnels."""

    other_daemons = frozenset({"edge-2"})
    domain_peers = frozenset({"edge-2"})

    def __init__(self) -> None:
        self.sent = []

    def on_message(self, handler) -> None:
        self.receive = handler

    def send(self, receiver, message) -> None:
        self.sent.append((receiver, message))


def _offers(channel, now):
    peers = {"edge-2": Daemon("edge-2", "127.0.0.1", 1)}
    return TunnelOffers(
        channel,
        lambda: peers,
        "a",
        Reach(lambda: now),
        None,
        None,
        lambda _: 0.0,
        lambda: now,
        None,
    )


async def test_only_carrier_is_used_although_it_has_failed():
    """Otherwise one tunnel that failed would leave nothing for the time of its avoidance."""
    channel = Channel()
    found = _offers(channel, 100.0)
    channel.receive("edge-2", TunnelOffer("narrator", 7355, 5))
    carrier = found.choose("narrator")
    found.avoid(carrier)
    assert found.choose("narrator") == carrier
    assert found.choose("desk") is None


@pytest.mark.parametrize(
    ("ago", "pending", "rooms"),
    [
        pytest.param(None, 0.0, [8], id="on time"),
        pytest.param(0.3, 0.0, [1], id="its pause is over"),
        pytest.param(0.3, 0.6, [], id="it stands still"),
    ],
)
async def test_daemon_carries_for_others_once_its_pause_is_over(ago, pending, rooms):
    """One that was cut off refused its callers for a second, until a peer offered again."""
    now, channel = 100.0, Channel()
    reach = Reach(lambda: now)
    reach.record_success(Endpoint("i-1", "narrator", "127.0.0.1:1", "a"))

    def max_lateness(since):
        paused = 1.4 if ago is not None and now - ago >= since else 0.0
        return max(paused, pending)

    found = TunnelOffers(
        channel,
        lambda: {},
        "a",
        reach,
        types.SimpleNamespace(room=8),
        7355,
        max_lateness,
        lambda: now,
        None,
    )
    await found._answer("edge-2", "narrator", 7355)
    assert [offer.room for _, offer in channel.sent] == rooms


async def test_daemon_without_an_offer_asks_until_one_comes():
    """Guards against a lost query, and against one that its peer could not answer yet."""
    channel = Channel()
    loop = asyncio.get_running_loop()
    peers = {"edge-2": Daemon("edge-2", "127.0.0.1", 1)}
    reach = Reach(loop.time)
    found = TunnelOffers(
        channel, lambda: peers, "a", reach, None, None, lambda _: 0.0, loop.time, None
    )
    assert await found.wait_choice("narrator", 0.16) is None
    assert len(channel.sent) >= 3


class OneCarrier:
    """Offers of a single daemon."""

    def __init__(self, address) -> None:
        self._carrier = Carrier("edge-2", "narrator", address, "a", 1, 0.0)

    async def wait_choice(self, service, seconds):
        return self._carrier

    def track(self, carrier):
        return contextlib.nullcontext()


async def _answer_http(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npong")


async def test_attempts_are_tunnelled_at_once_while_this_daemon_is_cut_off(monkeypatch):
    async def connect_directly(*_):
        raise AssertionError("a direct connection was tried")

    monkeypatch.setattr(PathConnector, "_connect", connect_directly)
    async with Fleet(_answer_http) as fleet:
        reach = Reach(asyncio.get_running_loop().time)
        for number in range(3):
            reach.record_failure(Endpoint(f"w{number}", "narrator", "", "a"))
        connector = PathConnector("edge-1", reach, OneCarrier(fleet.address), force_close=True)
        endpoint = fleet.view.roster.endpoints["w0"]
        path = AttemptPath(endpoint, "r1")
        current_path.set(path)
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            session.get(f"http://{endpoint.address}/") as response,
        ):
            assert await response.read() == b"pong"
        assert path.carrier == "edge-2"


@pytest.mark.parametrize(
    "data",
    [b"\xff\xff", b"\x00\x01\x90", b"\x00\x05" + b"\x94\x02\xa1a\xa1b", b"GET / HTTP/1.1\r\n\r\n"],
    ids=["too long", "no fields", "another version", "HTTP"],
)
async def test_malformed_opening_ends_the_connection(data):
    async with Fleet(_answer) as fleet:
        reader, writer = await asyncio.open_connection(*fleet.address)
        writer.write(data)
        with contextlib.suppress(ConnectionResetError):
            assert await asyncio.wait_for(reader.read(), TIMEOUT_SECONDS) == b""
        writer.close()
        await _until(lambda: not fleet.server.running)


async def test_bytes_before_the_tunnel_is_open_end_it(monkeypatch):
    async with Fleet(_answer) as fleet:
        monkeypatch.setattr(fleet.server, "connect_timeout", TIMEOUT_SECONDS)
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "sock_connect", lambda *_: asyncio.Event().wait())
        reader, writer = await asyncio.wait_for(_connect(fleet.address), TIMEOUT_SECONDS)
        writer.write(frames.encode_opening(OPENING))
        await asyncio.sleep(0.05)
        writer.write(b"x" * 1_000)
        with contextlib.suppress(ConnectionResetError):
            assert await asyncio.wait_for(reader.read(), TIMEOUT_SECONDS / 4) == b""
        writer.close()


async def _connect(address):
    """Connect without the event loop's own way, which a test may block."""
    connection = socket.create_connection(address)
    connection.setblocking(False)
    return await asyncio.open_connection(sock=connection)


def test_bytes_of_openings_and_frames_are_unchanged():
    assert frames.encode_opening(OPENING).hex() == "000d9401a6656467652d31a2773007"
    assert frames.decode_opening(frames.encode_opening(OPENING)) == OPENING
    assert frames.encode_frame(FrameKind.DATA, b"ab").hex() == "03000000026162"
    assert [kind.value for kind in FrameKind] == [1, 2, 3, 4, 5]


def test_frames_are_read_whatever_pieces_they_come_in():
    data = frames.encode_frame(FrameKind.OPENED) + frames.encode_frame(FrameKind.DATA, b"abc")
    reader, found = FrameReader(), []
    for byte in data:
        reader.feed(bytes([byte]))
        frame = reader.next()
        if frame is not None:
            found.append(frame)
    assert found == [(FrameKind.OPENED, b""), (FrameKind.DATA, b"abc")]


def _carrier(name: str, domain: str, room: int = 5) -> Carrier:
    return Carrier(name, "narrator", ("", 1), domain, room, 0.0)


@pytest.mark.parametrize(
    ("carriers", "running", "chosen"),
    [
        ([], {}, None),
        ([_carrier("a", "x", room=0)], {}, None),
        ([_carrier("a", "x"), _carrier("b", "y")], {}, "a"),
        ([_carrier("a", "x", room=0), _carrier("b", "y")], {}, "b"),
        ([_carrier("a", "x"), _carrier("b", "x")], {"a": 1}, "b"),
        ([_carrier("a", "x", room=1), _carrier("b", "y")], {}, "b"),
        ([_carrier("a", "x", room=1)], {}, "a"),
    ],
    ids=[
        "none",
        "no room",
        "own domain first",
        "room before domain",
        "fewer tunnels first",
        "a late one comes last",
        "a late one alone",
    ],
)
def test_choice_of_a_carrier(carriers, running, chosen):
    found = offers.choose(carriers, "x", running)
    assert (found and found.daemon_id) == chosen
