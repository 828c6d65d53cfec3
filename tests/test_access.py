"""Guards against unauthenticated peers, malformed frames and slow clients."""

import asyncio
import datetime
import ipaddress
import ssl

import aiohttp
import pytest
import zmq
import zmq.asyncio
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from thorncleat_core import codec
from thorncleat_core.daemon.settings import PeerKeys
from thorncleat_daemon.exceptions import PeerError
from thorncleat_daemon.peers import ZmqPeers
from thorncleat_standins.cluster import Cluster
from thorncleat_standins.cluster import Site


def _key_pair() -> tuple[str, str]:
    public, secret = zmq.curve_keypair()
    return public.decode(), secret.decode()


def _keys(pair: tuple[str, str], accepted: list[str]) -> PeerKeys:
    return PeerKeys.model_validate({"public": pair[0], "secret": pair[1], "accepted": accepted})


class ConnectedPair:
    """Two connected daemons; the server echoes requests of the client."""

    def __init__(self, keys: PeerKeys, others: PeerKeys, cluster: str = "c") -> None:
        self.addresses: dict[str, str] = {}
        self.server = ZmqPeers("c", "server", keys, lambda: self.addresses)
        self.client = ZmqPeers(cluster, "client", others, lambda: self.addresses)

    async def __aenter__(self) -> "ConnectedPair":
        async def echo(sender, body):
            return [sender, body]

        self.server.handle("echo", echo)
        self.addresses["server"] = await self.server.start("127.0.0.1:0")
        return self

    async def __aexit__(self, *error) -> None:
        await self.client.stop()
        await self.server.stop()

    async def ask(self, kind: str = "echo") -> object:
        return await self.client.ask("server", kind, {"n": 1}, 0.5)


class TestPeers:
    async def test_accepted_key_is_answered(self):
        pair = _key_pair()
        keys = _keys(pair, [pair[0]])
        async with ConnectedPair(keys, keys) as daemons:
            assert await daemons.ask() == ["client", {"n": 1}]

    async def test_unaccepted_key_is_ignored(self):
        pair, stranger = _key_pair(), _key_pair()
        # It knows the server's public key, but its own key isn't accepted.
        known = _keys(pair, [pair[0]])
        other = _keys(stranger, [pair[0]])
        async with ConnectedPair(known, other) as daemons:
            with pytest.raises(PeerError, match="did not answer"):
                await daemons.ask()
            assert daemons.server.counts["received"] == 0

    @pytest.mark.parametrize("server_is_changed", [False, True])
    async def test_both_keys_work_during_a_rotation(self, server_is_changed):
        old, new = _key_pair(), _key_pair()
        before, after = _keys(old, [old[0], new[0]]), _keys(new, [new[0], old[0]])
        server, client = (after, before) if server_is_changed else (before, after)
        async with ConnectedPair(server, client) as daemons:
            with pytest.raises(PeerError):
                await daemons.ask()
            assert await daemons.ask() == ["client", {"n": 1}]

    async def test_frame_for_another_cluster_is_dropped(self):
        pair = _key_pair()
        keys = _keys(pair, [pair[0]])
        async with ConnectedPair(keys, keys, cluster="other") as daemons:
            with pytest.raises(PeerError):
                await daemons.ask()
            assert daemons.server.counts["rejected"] == 1

    async def test_unknown_kind_is_dropped(self):
        pair = _key_pair()
        keys = _keys(pair, [pair[0]])
        async with ConnectedPair(keys, keys) as daemons:
            with pytest.raises(PeerError):
                await daemons.ask("nonsense")
            assert daemons.server.counts["rejected"] == 1

    @pytest.mark.parametrize(
        "frame",
        [
            b"",
            b"\xc1",
            codec.pack({"c": "c"})[:-1],
            codec.pack({"c": "c"}),
            codec.pack([1, 2]),
            codec.pack({"c": "c", "f": "x", "k": "echo", "n": 1, "b": 1}).replace(b"\x01", b"\x09"),
        ],
    )
    async def test_broken_frame_is_dropped_and_the_next_is_answered(self, frame):
        pair = _key_pair()
        keys = _keys(pair, [pair[0]])
        async with ConnectedPair(keys, keys) as daemons:
            connection = daemons.client._connection("server")
            await connection.socket.send(frame)
            assert await daemons.ask() == ["client", {"n": 1}]
            assert daemons.server.counts["rejected"] == 1


def _certificate(directory) -> dict[str, str]:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "localhost")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]),
            critical=False,
        )
        .sign(key, hashes.SHA256())
    )
    (directory / "tls.crt").write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    (directory / "tls.key").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return {"certificate": str(directory / "tls.crt"), "key": str(directory / "tls.key")}


class TestListeners:
    async def test_tls_and_a_slow_client(self, tmp_path):
        tls = _certificate(tmp_path)
        listen = {"callers_tls": tls, "operators_tls": tls}
        cluster = Cluster(tmp_path / "c", Site(daemons=1, instances=4), listen=listen)
        context = ssl.create_default_context(cafile=tls["certificate"])
        try:
            await cluster.start(shared_engines=True)
            addresses = cluster.processes["daemon-0"].announcement
            host, _, port = addresses["callers"].rpartition(":")
            # A client that never finishes its request must not block others.
            _, slow = await asyncio.open_connection(host, int(port), ssl=context)
            slow.write(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Le")
            async with aiohttp.ClientSession() as session:
                url = f"https://{addresses['callers']}/healthz"
                async with session.get(url, ssl=context) as response:
                    assert response.status == 200
                url = f"https://{addresses['operators']}/operators/v1/status"
                headers = {"Authorization": f"Bearer {cluster.operator_key}"}
                async with session.get(url, ssl=context, headers=headers) as response:
                    assert response.status == 200
                with pytest.raises(aiohttp.ClientError):
                    await session.get(f"http://{addresses['callers']}/healthz")
            slow.close()
        finally:
            await cluster.stop()
