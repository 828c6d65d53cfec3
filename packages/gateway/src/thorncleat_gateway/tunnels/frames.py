"""The bytes that two daemons exchange on a tunnel.

The daemon that opens a tunnel sends an :class:`Opening`, waits for a frame that tells whether the
endpoint's connection is up, and sends the request as it would to the endpoint. What the endpoint
sends comes back in frames, so that the end of its connection can be told from the end of the
tunnel itself.

Owns: nothing.
Relies on: msgpack for the opening.
"""

import dataclasses
import enum
import struct
import typing as t

import msgpack

# The first field of an opening; :func:`decode_opening` accepts this version only.
FORMAT_VERSION = 1
# An opening begins with its length.
OPENING_HEAD = struct.Struct("!H")
MAX_OPENING_BYTES = 1_024
# Each frame begins with its kind and the length of its payload.
FRAME_HEAD = struct.Struct("!BI")
MAX_PAYLOAD_BYTES = 1 << 20


class FrameKind(enum.IntEnum):
    """What a frame from the carrying daemon says."""

    # The connection to the endpoint is up.
    OPENED = 1
    # It isn't; the payload is a :class:`Failure`.
    FAILED = 2
    # Bytes that the endpoint sent.
    DATA = 3
    # The endpoint has closed its connection in an orderly way.
    ENDED = 4
    # The endpoint's connection has broken.
    RESET = 5


class Failure(enum.Enum):
    """Why a daemon doesn't carry a tunnel; the value is sent and logged."""

    ENDPOINT_REFUSED = "endpoint refused"
    ENDPOINT_SILENT = "endpoint silent"
    # The carrying daemon may be cut off from the endpoints itself.
    UNSURE = "no contact with endpoints"
    UNKNOWN_ENDPOINT = "unknown endpoint"
    NO_ROOM = "no room"

    @property
    def is_endpoints(self) -> bool:
        """Whether the endpoint didn't answer, rather than the carrying daemon."""
        return self in (Failure.ENDPOINT_REFUSED, Failure.ENDPOINT_SILENT)


@dataclasses.dataclass(frozen=True)
class Opening:
    """The request for a connection to an endpoint.

    :param daemon_id: the daemon that asks.
    :param born: Unix milliseconds of the endpoint's start; None if unknown.
    """

    daemon_id: str
    endpoint_id: str
    born: int | None


class Frame(t.NamedTuple):
    """A frame from the carrying daemon."""

    kind: FrameKind
    payload: bytes


def encode_opening(opening: Opening) -> bytes:
    """Return the bytes of an opening."""
    fields = [FORMAT_VERSION, opening.daemon_id, opening.endpoint_id, opening.born]
    packed: bytes = msgpack.packb(fields)
    return OPENING_HEAD.pack(len(packed)) + packed


def decode_opening(data: bytes) -> Opening | None:
    """Return an opening; None if more bytes are needed.

    :raises ValueError: if the bytes are malformed or of another version.
    """
    if len(data) < OPENING_HEAD.size:
        return None
    (length,) = OPENING_HEAD.unpack_from(data)
    if length > MAX_OPENING_BYTES:
        raise ValueError(f"an opening of {length} bytes is longer than {MAX_OPENING_BYTES}")
    if len(data) < OPENING_HEAD.size + length:
        return None
    try:
        fields = msgpack.unpackb(data[OPENING_HEAD.size : OPENING_HEAD.size + length])
    except msgpack.UnpackException as error:
        raise ValueError(f"an opening can't be read: {error!r}") from error
    match fields:
        case [1, str(daemon_id), str(endpoint_id), (int() | None) as born]:
            return Opening(daemon_id, endpoint_id, born)
    raise ValueError(f"{fields!r} is no opening of version {FORMAT_VERSION}")


def encode_frame(kind: FrameKind, payload: bytes = b"") -> bytes:
    """Return the bytes of a frame."""
    return FRAME_HEAD.pack(kind, len(payload)) + payload


class FrameReader:
    """Splits the received bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Take received bytes."""
        self._buffer += data

    def next(self) -> Frame | None:
        """Return the next frame; None if more bytes are needed.

        :raises ValueError: if the bytes are no frame.
        """
        if len(self._buffer) < FRAME_HEAD.size:
            return None
        kind, length = FRAME_HEAD.unpack_from(self._buffer)
        if length > MAX_PAYLOAD_BYTES:
            raise ValueError(f"a frame of {length} bytes is longer than {MAX_PAYLOAD_BYTES}")
        end = FRAME_HEAD.size + length
        if len(self._buffer) < end:
            return None
        payload = bytes(self._buffer[FRAME_HEAD.size : end])
        del self._buffer[:end]
        return Frame(FrameKind(kind), payload)
