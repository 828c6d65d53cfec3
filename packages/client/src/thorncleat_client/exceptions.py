"""Errors of the command line, each with its exit code.

Owns: nothing.
Relies on: the exit codes being those that docs/OPERATORS.md lists.
"""

import typing as t

from thorncleat_core.exceptions import ThorncleatError


class ClientError(ThorncleatError):
    """Base class; raised itself for an answer that the client can't interpret."""

    exit_code = 1


class UnusableDocumentError(ClientError):
    """A file, change or argument is invalid."""

    exit_code = 2


class PlanConflictError(ClientError):
    """The plan is out of date: planning now gives another result.

    :param current_plan: the result of planning now; None if the daemon sent none.
    """

    exit_code = 3

    def __init__(self, detail: str, current_plan: dict[str, t.Any] | None) -> None:
        super().__init__(detail)
        self.current_plan = current_plan


class UnavailableError(ClientError):
    """The daemon or the store can't be reached; nothing was changed."""

    exit_code = 4


class OutcomeUnknownError(ClientError):
    """It is unknown whether a plan was accepted; confirming it again is safe."""

    exit_code = 5


class DeniedError(ClientError):
    """The operator's key is missing or unknown, or lacks the required right."""

    exit_code = 6


class NotFoundError(ClientError):
    """The named resource doesn't exist."""

    exit_code = 7
