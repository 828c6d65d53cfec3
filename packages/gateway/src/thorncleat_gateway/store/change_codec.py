"""Encodes changes between daemons as MessagePack, compressed from a certain size.

Data classes are encoded as maps of their fields. During a rollout daemons of two builds relay to
each other, so a new field needs a default, and a field is removed only once no daemon requires it.

Owns: nothing.
Relies on: :mod:`thorncleat_core.codec` for the versioned form.
"""

import typing as t
import zlib

from thorncleat_core import codec
from thorncleat_core.exceptions import DecodeError
from thorncleat_core.values import MAX_INTEGER

from .. import events
from ..ports import Change
from ..ports import ConfigurationChanged
from ..ports import EndpointListed
from ..ports import EndpointRemoved
from ..ports import RecordChanged
from .roster import Endpoint
from .serving import Service
from .serving import ServingConfiguration

# The size from which compression is worth its processor time.
MIN_COMPRESSED_BYTES = 2_000
ZLIB_LEVEL = 1
# The first byte of an encoded message.
PLAIN, COMPRESSED = b"\0", b"\1"
# The largest decompressed message that is accepted from a relay.
MAX_BYTES = 64_000_000


def encode(revision: int, changes: t.Sequence[Change]) -> bytes:
    """Return changes as bytes.

    :param revision: the store's revision with these changes.
    """
    data = codec.pack([revision, [_encode_change(change) for change in changes]])
    if len(data) < MIN_COMPRESSED_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, ZLIB_LEVEL)


def decode(data: bytes) -> tuple[int, list[Change]]:
    """Return the revision and the changes that :func:`encode` wrote.

    :raises DecodeError: if the bytes can't be decoded.
    """
    try:
        match codec.unpack(_decompress(data)):
            case [int(revision), list(forms)] if 0 <= revision <= MAX_INTEGER:
                return revision, [_decode_change(form) for form in forms]
    except (zlib.error, ValueError, TypeError) as error:
        raise DecodeError(f"{len(data)} bytes of changes: {error}") from error
    raise DecodeError(f"{len(data)} bytes that are no changes")


def _decompress(data: bytes) -> bytes:
    if data[:1] != COMPRESSED:
        return data[1:]
    unpacker = zlib.decompressobj()
    unpacked = unpacker.decompress(data[1:], MAX_BYTES)
    if unpacker.unconsumed_tail:
        raise ValueError(f"more than {MAX_BYTES} bytes")
    return unpacked


def _encode_endpoint(endpoint: Endpoint) -> dict[str, t.Any]:
    """Return an endpoint's fields without the optional ones that are unset.

    Daemons of earlier builds ignore those fields.
    """
    form: dict[str, t.Any] = codec.to_plain(endpoint)
    if endpoint.born is None:
        del form["born"]
    if not endpoint.cold_for:
        del form["cold_for"]
    return form


def _encode_configuration(configuration: ServingConfiguration) -> dict[str, t.Any]:
    """Return a configuration's fields without the optional ones that are unset."""
    form: dict[str, t.Any] = codec.to_plain(configuration)
    form["services"] = {
        name: _encode_service(service) for name, service in configuration.services.items()
    }
    return form


def _encode_service(service: Service) -> dict[str, t.Any]:
    form: dict[str, t.Any] = codec.to_plain(service)
    for name in ("cold_start", "cold_rate", "max_connections"):
        if not form[name]:
            del form[name]
    if service.engine is not None:
        engine = form["engine"] = codec.to_plain(service.engine)
        if service.engine.times is None:
            del engine["times"]
    return form


def _encode_change(change: Change) -> list[t.Any]:
    match change:
        case ConfigurationChanged(configuration):
            return ["configuration", _encode_configuration(configuration)]
        case EndpointListed(endpoint):
            return ["listed", _encode_endpoint(endpoint)]
        case EndpointRemoved(endpoint_id):
            return ["gone", endpoint_id]
        case RecordChanged():
            return ["record", change]


def _decode_change(form: t.Any) -> Change:
    match form:
        case ["configuration", configuration]:
            return ConfigurationChanged(codec.validate(ServingConfiguration, configuration))
        case ["listed", endpoint]:
            return _decode_endpoint(endpoint)
        case ["gone", str(endpoint_id)]:
            return EndpointRemoved(endpoint_id)
        case ["record", record]:
            return codec.validate(RecordChanged, record)
    raise DecodeError(f"{form!r} is no change")


def _decode_endpoint(form: t.Any) -> Change:
    """Return the change for an entry; one with an invalid value is logged and removes its endpoint.

    A relay of an earlier build may pass on entries that this build leaves out.

    :raises DecodeError: if it isn't the form of an entry.
    """
    try:
        return EndpointListed(codec.validate(Endpoint, form))
    except DecodeError as error:
        match form:
            case {
                "id": str(endpoint_id),
                "service": str(),
                "address": str(),
                "failure_domain": str(),
            }:
                events.BAD_DOCUMENT.log(key=endpoint_id, reason=str(error))
                return EndpointRemoved(endpoint_id)
        raise
