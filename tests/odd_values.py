"""Values that no sound writer writes, and checks of those that are accepted."""

import json
import math

import msgpack
from hypothesis import strategies as st
from yarl import URL

from thorncleat_gateway.ports import ForwardMeta

HUGE = 10**400
# Written as JSON, where text may escape what no encoder writes.
ODD_JSON = [
    "null",
    "true",
    "{}",
    "[]",
    '""',
    '"x"',
    "0",
    "-1",
    "-0.0",
    "0.5",
    "1e-320",
    "1e300",
    "-1e300",
    "1e999",
    "-1e999",
    "NaN",
    "Infinity",
    "-Infinity",
    str(2**63),
    str(-(2**63) - 1),
    str(2**64),
    str(HUGE),
    str(-HUGE),
    "9" * 5_000,
    '"\\ud800"',
    '"a\\u0000b"',
    '"a\\r\\nb: c"',
    '"a\\u007fb"',
    '"a\\u0085b"',
    '"' + "x" * 5_000 + '"',
    '"' + "x" * 70_000 + '"',
    '"9999999999999999999999999999"',
    '"' + "9" * 5_000 + '"',
    '"nan"',
    '"inf"',
    "[" * 300 + "]" * 300,
    "[" * 100_000,
    '{"a":' * 300 + "1" + "}" * 300,
    "[null]",
    '["x", 5, {}]',
    '[{"name": "a\\nb"}]',
]
# Values that MessagePack can hold.
ODD_FIELDS = [
    None,
    True,
    0,
    -1,
    2**63 - 1,
    2**63,
    2**64 - 1,
    -(2**63),
    0.5,
    1e-320,
    1e300,
    -1e300,
    math.inf,
    -math.inf,
    math.nan,
    "",
    "x",
    "9" * 30,
    "9" * 5_000,
    "nan",
    "a\0b",
    "a\r\nb: c",
    "x" * 5_000,
    b"\xff",
    [],
    [[]],
    ["x", []],
    {},
    {"x": math.inf},
    {"x": -5},
    {"x": 2**64 - 1},
    {"x": "9" * 30},
    msgpack.Timestamp(1, 1),
    msgpack.ExtType(5, b"x"),
]


def paths(document, before=()):
    """Yield the path of each value inside a document."""
    inner = document.items() if isinstance(document, dict) else enumerate(document)
    for key, value in inner:
        yield (*before, key)
        if isinstance(value, dict | list):
            yield from paths(value, (*before, key))


def replaced(document, path, value):
    """Return a copy of a document with one value replaced."""
    if not path:
        return value
    copy = document.copy()
    copy[path[0]] = replaced(document[path[0]], path[1:], value)
    return copy


def odd_documents(document):
    """Yield a document's JSON with each value replaced by each odd one."""
    for path in paths(document):
        text = json.dumps(replaced(document, path, "REPLACED"))
        for odd in ODD_JSON:
            yield text.replace('"REPLACED"', odd).encode()


def odd_lists(fields):
    """Yield a list with each value replaced by each odd one."""
    for path in paths(fields):
        for odd in ODD_FIELDS:
            yield replaced(fields, path, odd)


def check_headers(headers):
    """Check that the client library can send headers."""
    from aiohttp.http_writer import _serialize_headers
    from multidict import CIMultiDict

    _serialize_headers("GET / HTTP/1.1", CIMultiDict(headers))


def check_time(seconds):
    assert math.isfinite(seconds)


def check_address(address):
    assert URL(f"http://{address}/x", encoded=True).port
    host, _, port = address.rpartition(":")
    # It must connect without a look-up.
    assert host.count(".") == 3
    assert 0 < int(port) < 2**16


def check_number(number):
    """Check that a number is finite, and that integers fit into all encodings."""
    assert math.isfinite(number)
    msgpack.packb(number)
    assert not isinstance(number, int) or -(2**63) <= number < 2**63


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
ODD_TEXT = [
    "",
    "inf",
    "-inf",
    "nan",
    "1e400",
    "9" * 400,
    "9" * 5_000,
    "1e300",
    "-1",
    "0",
    "²",
    "٣",
    "1_000",
    "0x5",
    "\x85",
    "5" * 14,
    ",,,:",
]
FORWARDED = ForwardMeta(1.0, "i-1", None, 0)
