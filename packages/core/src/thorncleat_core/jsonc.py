"""JSON with comments, read so that every later error can name a line.

Parsing is the ``json-five`` library's, whose grammar is a superset (trailing commas and
single quotes pass too); this module adds duplicate keys and the line of each key.

Owns: nothing beyond one document.
Relies on: json-five for the grammar, pydantic for what a document may hold.
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

Path = tuple[str | int, ...]
Model = t.TypeVar("Model", bound=pydantic.BaseModel)

# settings and intents are far smaller
MAX_DOCUMENT_BYTES = 1_000_000
# keys whose values are not repeated in messages
SECRET_KEYS = frozenset({"secret", "key_digest", "key_digests"})


@dataclasses.dataclass
class Document:
    """A parsed file.

    :param name: the file's name, for messages.
    :param value: the plain value.
    :param lines: the line of each path.
    """

    name: str
    value: t.Any
    lines: dict[Path, int] = dataclasses.field(default_factory=dict)

    def line_of(self, path: Path) -> int:
        """Return the line of a path, or of its nearest parent that stands in the file."""
        while path not in self.lines and path:
            path = path[:-1]
        return self.lines.get(path, 0)


def _key_name(key: t.Any) -> str:
    if isinstance(key, model.Identifier):
        return str(key.name)
    return str(key.characters)


class _Builder:
    """Turns the syntax tree into a plain value and collects duplicate keys."""

    def __init__(self) -> None:
        self.lines: dict[Path, int] = {}
        self.problems: list[Problem] = []

    def build(self, node: t.Any, path: Path) -> t.Any:
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

    def _object(self, node: t.Any, path: Path) -> dict[str, t.Any]:
        found: dict[str, t.Any] = {}
        for pair in node.key_value_pairs:
            name = _key_name(pair.key)
            inner = (*path, name)
            if name in found:
                line = pair.key.lineno or 0
                first = self.lines[inner]
                text = f"key {name!r} stands twice, first on line {first}"
                self.problems.append(Problem(line, dotted(inner), text))
                continue
            self.lines[inner] = pair.key.lineno or 0
            found[name] = self.build(pair.value, inner)
        return found


def dotted(path: t.Iterable[str | int]) -> str:
    """Return a path as ``a.b.0``."""
    return ".".join(str(step) for step in path)


def parse(text: str, name: str) -> Document:
    """Parse a text.

    :param text: the document.
    :param name: its name, for messages.
    :raises DocumentError: if it can't be parsed, is too large or has duplicate keys.
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        message = f"larger than {MAX_DOCUMENT_BYTES} bytes"
        raise DocumentError(name, [Problem(0, "", message)])
    try:
        tree = json5.loads(text, loader=ModelLoader())
    except (JSON5DecodeError, ValueError, RecursionError, AttributeError, TypeError) as error:
        # the parser raises plain errors for some truncated inputs
        first = str(error).splitlines()[0] if str(error) else "not JSON"
        raise DocumentError(name, [Problem(text.count("\n") + 1, "", first)]) from error
    builder = _Builder()
    value = builder.build(tree.value, ())
    if builder.problems:
        raise DocumentError(name, builder.problems)
    return Document(name, value, builder.lines)


def read(path: pathlib.Path) -> Document:
    """Read and parse a file.

    :raises DocumentError: if it is missing, unreadable or unparsable.
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
        # the value may be a key itself, put there by mistake
        return message
    if isinstance(error["input"], str | int | float | bool):
        return f"{message}, not {error['input']!r}"
    return message


def validate(document: Document, kind: type[Model]) -> Model:
    """Validate a document; all its faults are reported at once.

    :raises DocumentError: with a line and a path for every fault.
    """
    try:
        return kind.model_validate(document.value)
    except pydantic.ValidationError as error:
        problems = [
            Problem(document.line_of(found["loc"]), dotted(found["loc"]), _describe(found))
            for found in error.errors(include_url=False)
        ]
        raise DocumentError(document.name, problems) from error
