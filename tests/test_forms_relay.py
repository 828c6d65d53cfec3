"""The encoded form of the store's changes between daemons.

Daemons of earlier builds request and get an earlier form.
"""

import struct
import zlib

import aiohttp
import msgpack
import pytest

from thorncleat_core.exceptions import DecodeError
from thorncleat_gateway.exceptions import HistoryCompactedError
from thorncleat_gateway.exceptions import StoreUnavailableError
from thorncleat_gateway.ports import Changes
from thorncleat_gateway.ports import Position
from thorncleat_gateway.ports import RecordChanged
from thorncleat_gateway.settings import RelaySettings
from thorncleat_gateway.store import change_codec
from thorncleat_gateway.store.relay_feed import RelayFeed
from thorncleat_gateway.store.relay_server import RelayServer
from thorncleat_gateway.store.relays import Daemon

from . import recording
from . import wire_forms
from .recording import Answer
from .wire_forms import CHANGES
from .wire_forms import FixedFeed

# Each holds one change at revision 9, encoded by an earlier build.
WRITTEN = {
    "configuration": (
        "0082a17601a16492099192ad636f6e66696775726174696f6e85a776657273696f6e07a6726f7574"
        "6573918ca46e616d65a463686174a4686f7374ac73686f702e6578616d706c65a6707265666978a6"
        "2f636861742fa46b696e64a973747265616d696e67a774696d656f7574cb4008000000000000a674"
        "6172676574cb3fe0000000000000aa6761705f746172676574cb3fc999999999999aa87072696f72"
        "69747901a673706c6974739282a773657276696365a86e61727261746f72a6776569676874cb4008"
        "00000000000082a773657276696365ad6e61727261746f722d6e657874a6776569676874cb3ff000"
        "0000000000ac6d61785f617474656d70747302a67075626c6963c2a9726573756d61626c65c3a873"
        "6572766963657382a86e61727261746f7283a46e616d65a86e61727261746f72ab6865616c74685f"
        "70617468a82f6865616c74687aa6656e67696e6584a5736c6f747304a66d6f64656c739286a46e61"
        "6d65a56c61726765a473697a6502a57368617265cb3fe8000000000000a470616365cb3ff8000000"
        "000000a46c6f6164cb4044000000000000a47761726dcb400800000000000086a46e616d65a5736d"
        "616c6ca473697a6501a57368617265cb3ff0000000000000a470616365cb3ff0000000000000a46c"
        "6f6164cb404e000000000000a47761726dcb4014000000000000b06c6f6164735f7065725f736563"
        "6f6e64cb4000000000000000ad6c6f6164735f61745f6f6e636503a46465736b83a46e616d65a464"
        "65736bab6865616c74685f70617468a12fa6656e67696e65c0aa776f726b7370616365739183a46e"
        "616d65a767726f77657273a46b65797392a56b65792d31a56b65792d32a87072696f7269747901a6"
        "6c696d69747384ac6865616465725f6279746573cd03e8aa626f64795f6279746573cd07d0ae6865"
        "616465725f74696d656f7574cb3ff8000000000000ac69646c655f74696d656f7574cb4028000000"
        "000000"
    ),
    "member": (
        "0082a17601a16492099192a66c69737465648ba26964a3692d31a773657276696365a86e61727261"
        "746f72a761646472657373ab31302e302e302e313a3831ae6661696c7572655f646f6d61696ea27a"
        "31a8647261696e696e67c3ab6f726465725f636f756e7405ad6661627269635f646f6d61696ea264"
        "31a66d6f64656c7391a56c61726765a673746167656492a56c61726765a5736d616c6caa6d656d62"
        "65727368697083a567726f757082a565706f636803a46e616d65aa6e61727261746f722d30a47261"
        "6e6b01a57374617465a46f70656ea5736c6f747304"
    ),
    "loner": (
        "0082a17601a16492099192a66c69737465648ba26964a3692d32a773657276696365a46465736ba7"
        "61646472657373ab31302e302e302e323a3832ae6661696c7572655f646f6d61696ea27a32a86472"
        "61696e696e67c2ab6f726465725f636f756e7400ad6661627269635f646f6d61696ea0a66d6f6465"
        "6c7390a673746167656490aa6d656d62657273686970c0a5736c6f747301"
    ),
    "gone": "0082a17601a16492099192a4676f6e65a3692d33",
    "record": (
        "0082a17601a16492099192a67265636f726484a36b6579ac74686f726e636c6561742f61a576616c"
        "7565c40201ffa87265766973696f6e1ea76372656174656414"
    ),
    "record gone": (
        "0082a17601a16492099192a67265636f726484a36b6579ac74686f726e636c6561742f61a576616c"
        "7565c0a87265766973696f6e1fa76372656174656400"
    ),
}
# Holds all changes eight times, encoded by an earlier build.
COMPRESSED = (
    "017801ed5a3f73d330144f5a3860ef0c2b4b9a262cbd2eedc0cc57c829d68bad8b2cf924397f3aa6"
    "850586d61b4cb4b59d344d7a7c845ecbc2e5b8e303303076646403d9b243ff0cec9cec3b9f9e253d"
    "bd9fded3bba7278d8e7ad5231c3df95ed988e60e671de2860229c2d9eb710f84d48547a9e0a10279"
    "f82e66c887d8f1908a3d2ed54c7a3c588701f2030a6920a04306693dabaec75dc2f0a95402904f98"
    "3b56c407cd64b1f3b8923fa942c205b5d8fe61e8a98b8256f9efcbfbecf9300904e182a861359501"
    "254a46a3b104d1230e4c18125a4a2ed23e10d7fbcb77d9625eb6a83118a8b2d9f64f33dccc478316"
    "520afc40c9953408db943897a70264e8a33685ab4931901c2d87dacbd12fc9330f10555e2b40ca9b"
    "d40db19b02730983fd4452aee483d4e718a88cdee45d139a618e25d98595447a48c062fbdac81307"
    "c8d1d4af82a21ce1c5cecb82ea23e12f27ae60257d4469ceaa5ab22aa015ac4acab07a758bd59aa1"
    "3e6575b215806849d0aad7439a8acadcd420d5e2cc81d51883ec1af879f126f4a37a81f962dae7a2"
    "2b3320f2d0341ebb82f7b50dc55d18ca28d1df5a23ff366fa896125fab767fa667106b49da436d69"
    "5f57afa76d8e8705f5e8db79515b9a513953338229b4cabf3bcf8dfc514a895480df1e137c426a8d"
    "7b563346186b5dcbb3c6c67af636b6361be71d446828a085b98f083bde6d4cb0d0056dbd57675c64"
    "b2393c64eae1bc83da8238653bdc28b47c68f49b4a855cc091a1925c51531ffcb69e088f047b899e"
    "943018251070c75bcd0d63bab4d58d5820d6d52a554841cc03608525dd81d42c21e5fab80ba7b9b5"
    "d9bc07a7b9847379134ee5369c8f05988302c6c10dd12f8c2cd5287639033db12fa25468c31178ff"
    "44eb76a63c2e9843412f7f94f4100de1f34af5f744408f646ee4e9d8d1de40ab65ed5fdd2e967d9e"
    "957d2ad63959e76456b7754ed639191f6b9d935e113672b291938d9c6a3672ca022e1b39d96d9ddd"
    "d6d96d9db2db3a9b73ca927536e764734e36e764734e0ed884789e3e8a6d42dc26c4f3fcbe4d88db"
    "d33a7b5a674febec699d3dadb35709b25b09f62a81bd4a70e766c4ff7895e00fa39d13c8"
)
MANY = [*CHANGES.values()] * 8
HERE = Daemon("edge-2", "127.0.0.1", 0)


def change_of_size(size):
    """Return a change whose packed answer has a certain length."""
    # A value of this length has a head of three bytes.
    bare = len(change_codec.encode(9, [RecordChanged("k", bytes(300), 3, 2)])) - 1 - 300
    return [RecordChanged("k", bytes(size - bare), 3, 2)]


class TestCodec:
    @pytest.mark.parametrize("name", CHANGES)
    def test_encoded_as_by_an_earlier_build(self, name):
        assert change_codec.encode(9, [CHANGES[name]]).hex() == WRITTEN[name]

    @pytest.mark.parametrize("name", CHANGES)
    def test_changes_of_an_earlier_build_are_decoded(self, name):
        found = change_codec.decode(bytes.fromhex(WRITTEN[name]))
        assert found == (9, [CHANGES[name]])

    @pytest.mark.parametrize("name", CHANGES)
    def test_plain_form(self, name, snapshot):
        assert wire_forms.plain(wire_forms.wire_form(CHANGES[name])) == snapshot

    def test_compressed_changes_of_an_earlier_build_are_decoded(self):
        assert change_codec.decode(bytes.fromhex(COMPRESSED)) == (9, MANY)

    def test_compressed_changes_are_unchanged(self):
        # The compressed bytes may differ between versions of zlib.
        found = change_codec.encode(9, MANY)
        assert found[:1] == b"\1"
        assert zlib.decompress(found[1:]) == zlib.decompress(bytes.fromhex(COMPRESSED)[1:])

    @pytest.mark.parametrize(("size", "mark"), [(1999, b"\0"), (2000, b"\1")])
    def test_compressed_from_a_size(self, size, mark):
        found = change_codec.encode(9, change_of_size(size))
        unpacked = found[1:] if found[:1] == b"\0" else zlib.decompress(found[1:])
        assert (len(unpacked), found[:1]) == (size, mark)

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"\0",
            b"\1\0",
            b"\0" + msgpack.packb({"v": 2, "d": [9, []]}),
            b"\0" + msgpack.packb({"v": 1, "d": [9]}),
            b"\0" + msgpack.packb({"v": 1, "d": [9, [["unheard of", 1]]]}),
            b"\0" + msgpack.packb({"v": 1, "d": [9, [["listed", {"id": "i-1"}]]]}),
        ],
    )
    def test_undecodable_bytes_are_refused(self, data):
        with pytest.raises(DecodeError):
            change_codec.decode(data)

    def test_unknown_field_of_a_newer_daemon_is_ignored(self):
        form = wire_forms.wire_form(CHANGES["loner"])
        form[1]["something_new"] = 1
        data = b"\0" + msgpack.packb({"v": 1, "d": [9, [form]]})
        assert change_codec.decode(data) == (9, [CHANGES["loner"]])


def _head(age, settled_in):
    return struct.pack("!dqddq", age, 0, settled_in, 0.0, 7)


async def request_relay(path, changes, daemons=(HERE,), proven_seconds=-0.25):
    """Return the answer of a relay that read a snapshot at revision 9 and then some changes."""
    feed = FixedFeed([], proven_seconds=proven_seconds)
    view = wire_forms.make_view(feed, lambda: 100.0)
    server = RelayServer(view, lambda: daemons)
    await wire_forms.read_first_batch(view)
    if changes:
        batches = []
        view.on_batch(lambda since, found: batches.append(since))
        feed.next.put_nowait(Changes(Position(0, 12), changes, proven_seconds))
        await wire_forms.wait_until(lambda: batches)
    try:
        async with (
            recording.serving(server.handle) as address,
            aiohttp.ClientSession() as client,
            client.get(f"http://{address}{path}") as response,
        ):
            headers = recording.headers_form(response.headers.items())
            return response.status, headers, await response.read()
    finally:
        await view.stop()


class TestServer:
    """Answers to daemons of earlier builds."""

    async def test_answer(self, snapshot):
        status, headers, body = await request_relay(
            "/changes?since=9&wait=0.01", [*CHANGES.values()]
        )
        assert (status, headers) == snapshot
        assert body[:8] == struct.pack("!d", 0.25)
        assert body[8:] == change_codec.encode(12, [*CHANGES.values()])

    async def test_plain_answer(self, snapshot):
        changes = [CHANGES["loner"], CHANGES["gone"]]
        status, headers, body = await request_relay("/changes?since=9&wait=0.01", changes)
        assert (status, headers, body.hex()) == snapshot

    async def test_nothing_new(self, snapshot):
        status, headers, body = await request_relay("/changes?since=9&wait=0.01", [])
        assert (status, headers, body.hex()) == snapshot

    async def test_daemon_that_is_ahead_reads_a_snapshot(self):
        """The request names no era, so its revision may belong to an earlier one."""
        status, _, body = await request_relay("/changes?since=50&wait=0.01", [CHANGES["gone"]])
        assert (status, body) == (410, b"")

    @pytest.mark.parametrize(
        "path",
        [
            "/changes",
            "/changes?since=9",
            "/changes?wait=1",
            "/changes?since=x&wait=1",
            "/changes?since=9&wait=x",
            "/changes?since=8&wait=0",
            "/other?since=9&wait=0",
            "/",
        ],
    )
    async def test_refusal(self, path, snapshot):
        status, headers, body = await request_relay(path, [CHANGES["gone"]])
        assert (status, headers, body.hex()) == snapshot

    async def test_stranger(self, snapshot):
        unregistered = (Daemon("edge-2", "10.0.0.9", 0),)
        status, headers, body = await request_relay("/changes?since=9&wait=0", [], unregistered)
        assert (status, headers, body.hex()) == snapshot


class TestServerOfEras:
    async def test_answer(self):
        path = "/2/changes?era=0&since=9&wait=0.01"
        status, _, body = await request_relay(path, [*CHANGES.values()])
        assert status == 200
        assert body[:40] == _head(0.25, 2.0)
        assert body[40:] == change_codec.encode(12, [*CHANGES.values()])

    async def test_daemon_that_is_ahead_gets_no_changes(self):
        status, _, body = await request_relay(
            "/2/changes?era=0&since=50&wait=0.01", [CHANGES["gone"]]
        )
        assert (status, body[40:]) == (200, change_codec.encode(50, []))

    async def test_snapshot(self):
        changes = [CHANGES["configuration"], CHANGES["loner"]]
        status, _, body = await request_relay("/2/snapshot", changes)
        assert status == 200
        assert body == _head(0.25, 2.0) + change_codec.encode(12, changes)

    @pytest.mark.parametrize(
        ("query", "status"),
        [
            ("era=-1&since=50", 410),
            ("era=0&since=8", 410),
            ("era=1&since=9", 409),
            ("since=9", 400),
            ("era=x&since=9", 400),
        ],
        ids=["asker's era is over", "too far back", "relay is behind", "no era", "no number"],
    )
    async def test_refusal(self, query, status):
        found, _, _ = await request_relay(f"/2/changes?{query}&wait=0", [CHANGES["gone"]])
        assert found == status


async def _no_relays():
    return ()


class TestAsking:
    """The requests of a daemon to a relay, and its handling of the answers."""

    async def _ask(self, answer):
        async with recording.recorder() as server:
            server.answers = [answer]
            host, port = server.address.split(":")
            relay = Daemon("edge-2", host, int(port))
            settings = RelaySettings(wait=0.05, patience=5.0, oldest=0.4, avoid=0.2)
            feed = RelayFeed(settings, _Refusing(), lambda: [relay], _no_relays, lambda: 0.0)
            try:
                return server.calls, await feed.changes(Position(0, 9), 0.4)
            finally:
                await feed.close()

    async def test_question_and_answer(self, snapshot):
        body = _head(0.25, 0.5) + bytes.fromhex(WRITTEN["member"])
        calls, found = await self._ask(Answer(body=body))
        assert calls == snapshot(name="call")
        assert (found.position, list(found.changes)) == (Position(0, 9), [CHANGES["member"]])
        assert found.proven_seconds == -0.25

    async def test_compressed_answer(self):
        body = _head(0.25, 0.5) + bytes.fromhex(COMPRESSED)
        _, found = await self._ask(Answer(body=body))
        assert (found.position, list(found.changes)) == (Position(0, 9), MANY)

    @pytest.mark.parametrize(
        "answer",
        [
            Answer(404),
            Answer(400),
            Answer(409),
            Answer(body=b"\0"),
            Answer(body=struct.pack("!d", 0.25)),
            Answer(body=_head(0.41, 0.0) + bytes.fromhex(WRITTEN["member"])),
            Answer(body=_head(-0.1, 0.0) + bytes.fromhex(WRITTEN["member"])),
            Answer(body=_head(float("nan"), 0.0) + bytes.fromhex(WRITTEN["member"])),
            Answer(body=_head(0.25, 0.5) + b"\0\xc1"),
        ],
    )
    async def test_store_is_asked_after_an_unusable_answer(self, answer):
        with pytest.raises(StoreUnavailableError, match="the store was asked"):
            await self._ask(answer)

    async def test_missing_history_requires_a_snapshot(self):
        with pytest.raises(HistoryCompactedError):
            await self._ask(Answer(410))


class _Refusing(FixedFeed):
    def __init__(self) -> None:
        super().__init__([])

    async def changes(self, since, wait):
        assert (since, wait) == (Position(0, 9), 0.0)
        raise StoreUnavailableError("the store was asked")
