"""Errors of the client, each with the exit code of the program.

Owns: nothing.
Relies on: the exit codes being those that docs/OPERATORS.md lists.
"""

import typing as t

from thorncleat_core.exceptions import ThorncleatError


class ClientError(ThorncleatError):
    """Base class; also for answers that the client does not understand."""

    exit_code = 1


class UnusableDocumentError(ClientError):
    """A file or a change is not usable."""

    exit_code = 2


class PlanConflictError(ClientError):
    """The plan is not what would be planned now.

    :param fresh: the plan as it would be now, if there is one.
    """

    exit_code = 3

    def __init__(self, detail: str, fresh: dict[str, t.Any] | None) -> None:
        super().__init__(detail)
        self.fresh = fresh


class UnavailableError(ClientError):
    """No daemon could be reached, or the store can't be: nothing was done."""

    exit_code = 4


class OutcomeUnknownError(ClientError):
    """Whether a plan was accepted is not known; confirming it again is safe."""

    exit_code = 5


class DeniedError(ClientError):
    """The operator's key is missing, unknown or lacks the right."""

    exit_code = 6


class NotFoundError(ClientError):
    """Nothing goes by that name."""

    exit_code = 7
