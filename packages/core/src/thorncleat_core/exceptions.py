"""The exceptions of the core and their common base class.

Owns: nothing.
Relies on: nothing. The other packages derive their exceptions from these.
"""

import dataclasses


class ThorncleatError(Exception):
    """Base class of all exceptions that thorncleat raises itself."""


class DocumentError(ThorncleatError):
    """A document is invalid.

    :param name: the document's name.
    :param problems: everything that is wrong with it.
    """

    def __init__(self, name: str, problems: "list[Problem]") -> None:
        self.name = name
        self.problems = problems
        super().__init__("\n".join(f"{name}:{problem}" for problem in problems))


@dataclasses.dataclass(frozen=True)
class Problem:
    """An error in a document.

    :param line: line number, starting at 1; 0 for the whole document.
    :param path: path of the key, such as ``store.endpoints.0``.
    :param message: description that names the value.
    """

    line: int
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.line}: {self.path or 'document'}: {self.message}"


class DecodeError(ThorncleatError):
    """A value from a peer or the store can't be decoded."""


class UnknownNameError(ThorncleatError):
    """No implementation is registered under a name."""

    def __init__(self, kind: str, name: str, registered: list[str]) -> None:
        super().__init__(f"unknown {kind} {name!r}, one of {', '.join(registered)} is wanted")


class PlacementError(ThorncleatError):
    """No set of free instances satisfies an intent."""


class AssignmentError(ThorncleatError):
    """An assignment would put an instance into two groups."""


class ConflictError(ThorncleatError):
    """A plan was made from an outdated revision or fleet."""


class JournalError(ThorncleatError):
    """A journal entry does not follow the entries before it."""


class LeaseError(ThorncleatError):
    """A lease that an action requires may have expired."""
