"""All errors of the core, below one base class.

Owns: nothing.
Relies on: nothing; the packages derive the errors of their own layers from these.
"""

import dataclasses


class ThorncleatError(Exception):
    """Base class of every error that thorncleat raises on purpose."""


class DocumentError(ThorncleatError):
    """A settings or intent file is unusable; :attr:`problems` lists everything found."""

    def __init__(self, name: str, problems: "list[Problem]") -> None:
        self.name = name
        self.problems = problems
        super().__init__("\n".join(f"{name}:{problem}" for problem in problems))


@dataclasses.dataclass(frozen=True)
class Problem:
    """One fault in a document.

    :param line: line in the file, counted from 1; 0 for the whole file.
    :param path: the key's path, as in ``store.endpoints.0``.
    :param message: what is wrong, naming the value.
    """

    line: int
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.line}: {self.path or 'document'}: {self.message}"


class DecodeError(ThorncleatError):
    """A value from a peer or from the store is not what its version says."""


class UnknownNameError(ThorncleatError):
    """A name is not in the registry that it was looked up in."""

    def __init__(self, kind: str, name: str, known: list[str]) -> None:
        super().__init__(f"unknown {kind} {name!r}, one of {', '.join(known)} is wanted")


class PlacementError(ThorncleatError):
    """No choice of instances satisfies an intent; nothing was changed."""


class AssignmentError(ThorncleatError):
    """An assignment would break an invariant; it is not written."""


class ConflictError(ThorncleatError):
    """A plan was made from a revision or a fleet that is no longer the present one."""


class JournalError(ThorncleatError):
    """A journal entry does not follow from the entries before it."""


class LeaseError(ThorncleatError):
    """An act needs a lease that may be over."""
