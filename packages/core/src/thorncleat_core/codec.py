"""Versioned MessagePack encoding for values in the store and messages between daemons.

A data class is encoded as a map from field name to value, so renaming or removing a field
requires a new version.

Owns: a cache of validators, one for each decoded class.
Relies on: msgpack for the encoding, pydantic for validation.
"""

import dataclasses
import enum
import hashlib
import json
import types
import typing as t

import msgpack
import pydantic

from .exceptions import DecodeError

# Version of the envelope. Values of any other version are rejected.
VERSION = 1
Data = t.TypeVar("Data")


def pack(value: t.Any) -> bytes:
    """Return a value encoded as MessagePack, with data classes written as maps."""
    return t.cast(bytes, msgpack.packb({"v": VERSION, "d": value}, default=to_plain))


def to_plain(value: t.Any) -> t.Any:
    """Return the plain form of a value that the encoders can't handle themselves.

    :raises TypeError: if values of this type can't be encoded.
    """
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {field.name: getattr(value, field.name) for field in dataclasses.fields(value)}
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, frozenset | set):
        return sorted(value)
    if isinstance(value, types.MappingProxyType):
        return dict(value)
    if isinstance(value, pydantic.BaseModel):
        return value.model_dump(mode="json")
    raise TypeError(f"can't encode {type(value).__name__}")


def unpack(data: bytes) -> t.Any:
    """Return the value that was encoded by :func:`pack`.

    :raises DecodeError: if the data is truncated, malformed or of another version.
    """
    try:
        value = msgpack.unpackb(data, strict_map_key=True)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise DecodeError(f"{len(data)} bytes that are not MessagePack: {error}") from error
    if not isinstance(value, dict) or set(value) != {"v", "d"}:
        raise DecodeError(f"{len(data)} bytes without a version")
    if value["v"] != VERSION:
        raise DecodeError(f"version {value['v']!r}, {VERSION} is wanted")
    return value["d"]


def decode(kind: type[Data], data: bytes) -> Data:
    """Return an instance of a data class or model, decoded and validated.

    :raises DecodeError: if the data can't be decoded or is not valid for the class.
    """
    return validate(kind, unpack(data))


def validate(kind: type[Data], value: t.Any) -> Data:
    """Return an instance of a data class or model, validated from a plain value.

    :raises DecodeError: if the value is not valid for the class.
    """
    try:
        return _adapter(kind).validate_python(value)
    except pydantic.ValidationError as error:
        first_error = error.errors(include_url=False, include_input=False)[0]
        path = ".".join(str(step) for step in first_error["loc"])
        raise DecodeError(f"{kind.__name__}: {path}: {first_error['msg']}") from error


_ADAPTERS: dict[type, pydantic.TypeAdapter[t.Any]] = {}


def _adapter(kind: type[Data]) -> "pydantic.TypeAdapter[Data]":
    if kind not in _ADAPTERS:
        _ADAPTERS[kind] = pydantic.TypeAdapter(kind)
    return _ADAPTERS[kind]


def digest(value: t.Any) -> str:
    """Return the hexadecimal SHA-256 digest of a value's canonical JSON."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), default=to_plain)
    return hashlib.sha256(text.encode()).hexdigest()
