"""Types of values that other processes and operators write.

A value of one of these types is accepted by everything that uses it: a header, a URL, a socket, a
timer, a division, and each of the encodings in which daemons pass it on.

Owns: nothing.
Relies on: pydantic to validate the annotated types.
"""

import re
import typing as t

import pydantic

MAX_PORT = 65_535
# The largest and the least integer that each encoding holds: signed, 64 bits.
MAX_INTEGER = 2**63 - 1
MIN_INTEGER = -(2**63)
# Epochs of later groups are higher, and fit into 64 bits too.
MAX_EPOCH = 2**62
# Sums and products of a few numbers remain finite.
MAX_NUMBER = 1e18
# The reciprocal of a divisor remains within MAX_NUMBER.
MIN_DIVISOR = 1e-18
MAX_NAME_CHARACTERS = 1_000
# Two ids have to fit into the opening of a tunnel.
MAX_ID_CHARACTERS = 200
# Names become values of headers, which can't contain control characters.
_NO_CONTROL_CHARACTERS = r"\A[^\p{Cc}]*\z"
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_ADDRESS = re.compile(rf"(?:{_OCTET}\.){{3}}{_OCTET}:(?P<port>[0-9]{{1,5}})")


def check_address(text: str) -> str:
    """Return an address of the form IPv4:PORT; names aren't looked up.

    :raises ValueError: if it has another form, or port 0.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None or not 0 < int(match["port"]) <= MAX_PORT:
        raise ValueError(f"an address is HOST:PORT with a port up to {MAX_PORT}")
    return text


Integer = t.Annotated[int, pydantic.Field(ge=MIN_INTEGER, le=MAX_INTEGER)]
Natural = t.Annotated[int, pydantic.Field(ge=0, le=MAX_INTEGER)]
# Port 0 lets the system choose one, so it is no port of an address of others.
Port = t.Annotated[int, pydantic.Field(ge=0, le=MAX_PORT)]
# An integer by which others are divided.
Count = t.Annotated[int, pydantic.Field(ge=1, le=MAX_INTEGER)]
Number = t.Annotated[float, pydantic.Field(allow_inf_nan=False, ge=-MAX_NUMBER, le=MAX_NUMBER)]
Amount = t.Annotated[float, pydantic.Field(allow_inf_nan=False, ge=0, le=MAX_NUMBER)]
Divisor = t.Annotated[float, pydantic.Field(allow_inf_nan=False, ge=MIN_DIVISOR, le=MAX_NUMBER)]
Name = t.Annotated[
    str, pydantic.Field(max_length=MAX_NAME_CHARACTERS, pattern=_NO_CONTROL_CHARACTERS)
]
Id = t.Annotated[
    str,
    pydantic.Field(min_length=1, max_length=MAX_ID_CHARACTERS, pattern=_NO_CONTROL_CHARACTERS),
]
Epoch = t.Annotated[int, pydantic.Field(ge=0, le=MAX_EPOCH)]
Address = t.Annotated[str, pydantic.AfterValidator(check_address)]

# For a sequence of which one item at least is used.
NOT_EMPTY = pydantic.Field(min_length=1)

_ID = pydantic.TypeAdapter[str](Id)


def check_id(text: str) -> str:
    """Return an id.

    :raises ValueError: if it has no characters, too many, or control characters.
    """
    return _ID.validate_python(text)


def is_address(text: str) -> bool:
    """Return whether :func:`check_address` accepts a text."""
    return _accepts(check_address, text)


def is_id(text: str) -> bool:
    """Return whether :func:`check_id` accepts a text."""
    return _accepts(check_id, text)


def _accepts(check: t.Callable[[str], str], text: str) -> bool:
    try:
        check(text)
    except ValueError:
        return False
    return True
