"""Odd values and keys of the gateway's own records, which another writer may have written."""

import contextlib
import math

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from thorncleat_gateway.groups.placement_records import Placement
from thorncleat_gateway.groups.records import GROUPS_PREFIX
from thorncleat_gateway.groups.records import _group_of
from thorncleat_gateway.groups.records import _key
from thorncleat_gateway.groups.records import _LeaderRecord
from thorncleat_gateway.peers import message_codec
from thorncleat_gateway.ports import Position
from thorncleat_gateway.ports import RecordChanged
from thorncleat_gateway.requests.lifted_holds import RELEASES_PREFIX
from thorncleat_gateway.requests.lifted_holds import ReleasedRequests
from thorncleat_gateway.store.complete_era import COMPLETE_ERA_KEY
from thorncleat_gateway.store.complete_era import recorded_era
from thorncleat_gateway.store.registration import _decode_daemon
from thorncleat_gateway.tunnels import frames

from .odd_values import VALUES
from .odd_values import check_address
from .odd_values import check_headers
from .odd_values import odd_lists


def nested(depth):
    return b"\x91" * depth + b"\xc0"


@given(st.binary() | st.integers(0, 5_000).map(nested) | VALUES.map(msgpack.packb))
def test_records_of_any_bytes(data):
    assert message_codec.decode(data) is None
    _decode_daemon("edge-1", data)
    recorded_era({COMPLETE_ERA_KEY: RecordChanged(COMPLETE_ERA_KEY, data, 1)})
    for record in (_LeaderRecord.decode(data), Placement.decode(data)):
        assert record is None or record.encode()
    with contextlib.suppress(ValueError):
        frames.decode_opening(frames.OPENING_HEAD.pack(len(data)) + data)
    with contextlib.suppress(ValueError):
        reader = frames.FrameReader()
        reader.feed(data)
        reader.next()


def test_odd_registrations():
    """Guards against an address that ends the socket of the datagrams, or is looked up."""
    for fields in odd_lists(["10.0.0.2", 7340, "a", 2.0]):
        daemon = _decode_daemon("edge-1", msgpack.packb(fields))
        if daemon is not None:
            check_address(f"{daemon.host}:{daemon.port}")
            assert 0 <= daemon.capacity < math.inf


@pytest.mark.parametrize("host", ["h" * 64 + ".example", "...", "[::1", "a\nb", "", "localhost"])
def test_registration_under_a_name_is_unknown(host):
    """Guards against look-ups, and against names that end the socket of the datagrams."""
    assert _decode_daemon("edge-1", msgpack.packb([host, 7340, "a", 2.0])) is None


def test_odd_records_of_leaders():
    for fields in odd_lists(["i-1", "desk", "10.0.0.1:1"]):
        record = _LeaderRecord.decode(msgpack.packb(fields))
        if record is not None:
            check_address(record.address)
            check_headers([("X-Id", record.id)])


def test_odd_placements():
    """Guards against a version after which no other fits into a record."""
    for fields in odd_lists([1, 3, 4, {"d": "m"}, ["d", "a", "b", True]]):
        placement = Placement.decode(msgpack.packb(fields))
        if placement is not None:
            following = Placement(placement.era, placement.version + 1, placement.domains)
            assert Placement.decode(following.encode()) == following


@pytest.mark.parametrize(
    "text",
    ["3/g", "x/y", "7", "/g", "٣/g", "²/g", "007/g", "-1/g", f"{2**63}/g", "9" * 5_000 + "/g"],
)
def test_key_of_a_group(text):
    """Guards against a key whose number can't be read, or that names another key's group."""
    group = _group_of(GROUPS_PREFIX + text)
    assert (group is not None) is (text == "3/g")
    assert group is None or _key(group) == GROUPS_PREFIX + text


class ReleaseView:
    """A view with one record of a lifted hold."""

    records_version = 1

    def __init__(self, name):
        self.records = {RELEASES_PREFIX + name: RecordChanged(RELEASES_PREFIX + name, b"", 1)}

    def on_change(self, listener):
        self.notify = listener

    def position_of(self, record):
        return Position(1, record.revision)


class Released(list):
    """Takes what is released."""

    release = list.append


@pytest.mark.parametrize("name", ["²", "zz", "0", "\n", "é", "x" * 5_000, "00" * 20])
def test_key_of_a_lifted_hold(name):
    view, released = ReleaseView(name), Released()
    ReleasedRequests(view, released)
    view.notify()
    assert all(isinstance(fingerprint, bytes) for fingerprint in released)
