"""Functions to call when something happens, none of which can end another one's call.

Owns: the functions.
Relies on: :mod:`.failures` to log the errors of those that fail.
"""

import typing as t

from .failures import FailureLog

Parameters = t.ParamSpec("Parameters")


class Callbacks(t.Generic[Parameters]):
    """Calls functions in the order in which they were added.

    One that raises is logged; the others, and the caller, go on.

    :param name: what the functions are called for, in the log line of a failure.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._functions: list[t.Callable[Parameters, None]] = []
        self._failures = FailureLog()

    def add(self, function: t.Callable[Parameters, None]) -> None:
        """Add a function."""
        self._functions.append(function)

    def call(self, *args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
        """Call all functions."""
        for function in self._functions:
            with self._failures.contain(self._name):
                function(*args, **kwargs)
