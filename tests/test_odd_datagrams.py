"""Datagrams with odd fields are rejected, or can be passed on."""

import math

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from thorncleat_gateway.peers import message_codec

from .odd_values import VALUES
from .odd_values import odd_lists

MESSAGES = [
    ["load", {"i-1": 3}, ["i-2"]],
    ["domain", "z", {"i-1": 3}],
    ["suspect", "i-1", 3, "g", "silent"],
    ["probe", "i-1"],
    ["probed", "i-1", True, False],
    ["ended", 3, "g"],
    ["kept", 3, "g", "i-1"],
    ["crash", [["i-1", 5, 10, [[b"d", 1, 2]]]]],
    ["no crash", "i-1", 5, b"d", 10],
    ["limits", [["i-1", 5, 2.5, 10, 10]]],
    ["workspaces", "z", [["desk", "m", {"growers": 3}]]],
    ["retries", True, False, [["desk", [1, 2], [0, 1]]]],
    ["ask retries"],
    ["recall retries", 10, [True, False, [["desk", [1, 2], [0, 1]]]]],
    ["ask tunnel", "desk"],
    ["offer tunnel", "desk", 5, 3],
]


def numbers_in(value):
    if isinstance(value, dict):
        value = [*value.keys(), *value.values()]
    if isinstance(value, list | tuple):
        for inner in value:
            yield from numbers_in(inner)
    elif isinstance(value, int | float):
        yield value


@pytest.mark.parametrize("content", MESSAGES, ids=lambda content: content[0])
def test_odd_datagrams(content):
    """Guards against a datagram that raises in the receiver, or a count that no sum survives."""
    assert message_codec.decode(msgpack.packb([1, "edge-1", *content])) is not None
    for odd in odd_lists([1, "edge-1", *content]):
        datagram = message_codec.decode(msgpack.packb(odd))
        if datagram is not None:
            encoded = message_codec.encode(*datagram)
            assert message_codec.decode(encoded) is not None
            for number in numbers_in(msgpack.unpackb(encoded)):
                assert math.isfinite(number)
                assert number >= 0


def test_reported_contacts_are_ids():
    """Guards against contacts that no dictionary holds."""
    datagram = message_codec.decode(msgpack.packb([1, "edge-1", "load", {}, [[], {}, 5]]))
    assert datagram is None or dict.fromkeys(datagram.message.heard, 1.0) is not None


@given(st.sampled_from([content[0] for content in MESSAGES]), st.lists(VALUES))
def test_datagrams_of_any_fields(kind, fields):
    datagram = message_codec.decode(msgpack.packb([1, "edge-1", kind, *fields]))
    if datagram is not None:
        message_codec.encode(*datagram)
