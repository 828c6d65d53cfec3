"""How changes are written between daemons: MessagePack, compressed where that is worth it.

Data classes are written as maps of their fields. A field may only be removed from one of them
once no daemon runs that requires it, and one is added with a default: the daemons of two builds
relay to each other while a new one is rolled out, and a daemon that can't decode an answer goes
to the store instead.

Owns: nothing.
Relies on: :mod:`thorncleat_core.codec` for the versioned form.
"""

import typing as t
import zlib

from thorncleat_core import codec
from thorncleat_core.exceptions import DecodeError

from ..ports import Change
from ..ports import ConfigurationChanged
from ..ports import EndpointGone
from ..ports import EndpointListed
from ..ports import RecordChanged
from .roster import Endpoint
from .serving import ServingConfiguration

# from which compression is worth its processor time
COMPRESS_FROM_BYTES = 2_000
# of zlib, the quickest
COMPRESSION_LEVEL = 1
# the first byte of what is sent
PLAIN, COMPRESSED = b"\0", b"\1"
# that a relay may make this daemon unpack
MAX_BYTES = 64_000_000


def encode(revision: int, changes: t.Sequence[Change]) -> bytes:
    """Return changes as bytes."""
    data = codec.pack([revision, [_form(change) for change in changes]])
    if len(data) < COMPRESS_FROM_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def decode(data: bytes) -> tuple[int, list[Change]]:
    """Return the revision and the changes that :func:`encode` wrote.

    :raises DecodeError: if it is something else.
    """
    try:
        match codec.unpack(_unpacked(data)):
            case [int(revision), list(forms)]:
                return revision, [_change(form) for form in forms]
    except (zlib.error, ValueError, TypeError) as error:
        raise DecodeError(f"{len(data)} bytes of changes: {error}") from error
    raise DecodeError(f"{len(data)} bytes that are no changes")


def _unpacked(data: bytes) -> bytes:
    if data[:1] != COMPRESSED:
        return data[1:]
    unpacker = zlib.decompressobj()
    unpacked = unpacker.decompress(data[1:], MAX_BYTES)
    if unpacker.unconsumed_tail:
        raise ValueError(f"more than {MAX_BYTES} bytes")
    return unpacked


def _endpoint_form(endpoint: Endpoint) -> dict[str, t.Any]:
    """Return an endpoint's form; what it doesn't tell is left out.

    Daemons that know no ``born`` pass over it.
    """
    form: dict[str, t.Any] = codec.to_plain(endpoint)
    if endpoint.born is None:
        del form["born"]
    return form


def _form(change: Change) -> list[t.Any]:
    match change:
        case ConfigurationChanged(configuration):
            return ["configuration", configuration]
        case EndpointListed(endpoint):
            return ["listed", _endpoint_form(endpoint)]
        case EndpointGone(endpoint_id):
            return ["gone", endpoint_id]
        case RecordChanged():
            return ["record", change]


def _change(form: t.Any) -> Change:
    match form:
        case ["configuration", configuration]:
            return ConfigurationChanged(codec.validate(ServingConfiguration, configuration))
        case ["listed", endpoint]:
            return EndpointListed(codec.validate(Endpoint, endpoint))
        case ["gone", str(endpoint_id)]:
            return EndpointGone(endpoint_id)
        case ["record", record]:
            return codec.validate(RecordChanged, record)
    raise DecodeError(f"{form!r} is no change")
