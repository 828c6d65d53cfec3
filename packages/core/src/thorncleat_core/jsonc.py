"""A reader of JSON with comments that reports errors with their line.

The grammar is JSON5, so trailing commas and single quotes are accepted too. Duplicate keys are
errors.

Owns: nothing.
Relies on: json-five for parsing, pydantic for validation.
"""

import dataclasses
import pathlib
import typing as t

import json5
import pydantic
from json5 import model
from json5.loader import ModelLoader
from json5.utils import JSON5DecodeError

from .exceptions import DocumentError
from .exceptions import Problem

KeyPath = tuple[str | int, ...]
Model = t.TypeVar("Model", bound=pydantic.BaseModel)

MAX_DOCUMENT_BYTES = 1_000_000
# Keys whose values must not appear in error messages.
SECRET_KEYS = frozenset({"secret", "key_digest", "key_digests"})


@dataclasses.dataclass
class Document:
    """A parsed document.

    :param name: name for error messages.
    :param value: the document as plain values.
    :param lines: line number of each path.
    """

    name: str
    value: t.Any
    lines: dict[KeyPath, int] = dataclasses.field(default_factory=dict)

    def line_of(self, path: KeyPath) -> int:
        """Return the line of a path or of its closest parent; 0 if there is none."""
        while path not in self.lines and path:
            path = path[:-1]
        return self.lines.get(path, 0)


def _key_name(key: t.Any) -> str:
    if isinstance(key, model.Identifier):
        return str(key.name)
    return str(key.characters)


class _ValueBuilder:
    """Converts a syntax tree to plain values and collects line numbers and duplicate keys."""

    def __init__(self) -> None:
        self.lines: dict[KeyPath, int] = {}
        self.problems: list[Problem] = []

    def build(self, node: t.Any, path: KeyPath) -> t.Any:
        self.lines.setdefault(path, node.lineno or 0)
        if isinstance(node, model.JSONObject):
            return self._object(node, path)
        if isinstance(node, model.JSONArray):
            return [self.build(item, (*path, index)) for index, item in enumerate(node.values)]
        if isinstance(node, model.String):
            return node.characters
        if isinstance(node, model.NullLiteral):
            return None
        if isinstance(node, model.UnaryOp):
            value = self.build(node.value, path)
            return -value if node.op == "-" else value
        return getattr(node, "value", None)

    def _object(self, node: t.Any, path: KeyPath) -> dict[str, t.Any]:
        values: dict[str, t.Any] = {}
        for pair in node.key_value_pairs:
            name = _key_name(pair.key)
            key_path = (*path, name)
            if name in values:
                line = pair.key.lineno or 0
                first = self.lines[key_path]
                text = f"key {name!r} stands twice, first on line {first}"
                self.problems.append(Problem(line, format_path(key_path), text))
                continue
            self.lines[key_path] = pair.key.lineno or 0
            values[name] = self.build(pair.value, key_path)
        return values


def format_path(path: t.Iterable[str | int]) -> str:
    """Return a path with dots between its steps, such as ``a.b.0``."""
    return ".".join(str(step) for step in path)


def parse(text: str, name: str) -> Document:
    """Return the document that a text holds.

    :param name: name for error messages.
    :raises DocumentError: if the text can't be parsed, is too large or has duplicate keys.
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        message = f"larger than {MAX_DOCUMENT_BYTES} bytes"
        raise DocumentError(name, [Problem(0, "", message)])
    try:
        tree = json5.loads(text, loader=ModelLoader())
    except (JSON5DecodeError, ValueError, RecursionError, AttributeError, TypeError) as error:
        # For some truncated inputs the parser raises AttributeError or TypeError.
        message = str(error).splitlines()[0] if str(error) else "not JSON"
        raise DocumentError(name, [Problem(text.count("\n") + 1, "", message)]) from error
    builder = _ValueBuilder()
    value = builder.build(tree.value, ())
    if builder.problems:
        raise DocumentError(name, builder.problems)
    return Document(name, value, builder.lines)


def read(path: pathlib.Path) -> Document:
    """Return the document in a file.

    :raises DocumentError: if the file can't be read or parsed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError(str(path), [Problem(0, "", f"can't be read: {error}")]) from error
    return parse(text, str(path))


def _describe(error: t.Any) -> str:
    if error["type"] == "extra_forbidden":
        return "unknown key"
    if error["type"] == "missing":
        return "this key is required"
    message = str(error["msg"]).removeprefix("Value error, ")
    if SECRET_KEYS.intersection(error["loc"]):
        # The value may be a secret that was entered in place of its digest.
        return message
    if isinstance(error["input"], str | int | float | bool):
        return f"{message}, not {error['input']!r}"
    return message


def validate(document: Document, kind: type[Model]) -> Model:
    """Return an instance of a model, validated from a document.

    :raises DocumentError: listing all errors with their lines and paths.
    """
    try:
        return kind.model_validate(document.value)
    except pydantic.ValidationError as error:
        problems = [
            Problem(document.line_of(detail["loc"]), format_path(detail["loc"]), _describe(detail))
            for detail in error.errors(include_url=False)
        ]
        raise DocumentError(document.name, problems) from error
