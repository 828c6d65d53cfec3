"""Encoding of what goes into the store and between daemons: MessagePack with a version.

A data class is written as a map of its fields, so the names of fields are a part of the format:
a field is renamed or removed only together with the version.

Owns: a cache of validators, one for each class that was decoded.
Relies on: msgpack for the bytes, pydantic for the forms of data classes.
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

# of the envelope; another one is refused
VERSION = 1
Data = t.TypeVar("Data")


def pack(value: t.Any) -> bytes:
    """Encode plain values; data classes are written as maps."""
    return t.cast(bytes, msgpack.packb({"v": VERSION, "d": value}, default=to_plain))


def to_plain(value: t.Any) -> t.Any:
    """Return a value's plain form, for the encoders."""
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
    """Decode what :func:`pack` made.

    :raises DecodeError: if it is truncated, foreign or of another version.
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
    """Decode and validate a data class.

    :raises DecodeError: if the value doesn't have the class's form.
    """
    return validate(kind, unpack(data))


def validate(kind: type[Data], value: t.Any) -> Data:
    """Validate a plain value as a data class or model.

    :raises DecodeError: if the value doesn't have the class's form.
    """
    try:
        return _adapter(kind).validate_python(value)
    except pydantic.ValidationError as error:
        fault = error.errors(include_url=False, include_input=False)[0]
        path = ".".join(str(step) for step in fault["loc"])
        raise DecodeError(f"{kind.__name__}: {path}: {fault['msg']}") from error


_ADAPTERS: dict[type, pydantic.TypeAdapter[t.Any]] = {}


def _adapter(kind: type[Data]) -> "pydantic.TypeAdapter[Data]":
    if kind not in _ADAPTERS:
        _ADAPTERS[kind] = pydantic.TypeAdapter(kind)
    return _ADAPTERS[kind]


def digest(value: t.Any) -> str:
    """Return the SHA-256 of a plain value in canonical JSON, in hexadecimal."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), default=to_plain)
    return hashlib.sha256(text.encode()).hexdigest()
