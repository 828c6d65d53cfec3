"""Changes the time of a running :func:`asyncio.timeout`.

Owns: nothing.
Relies on: asyncio, which raises if the time of a scope that has just expired is changed.
"""

import asyncio


def reschedule(scope: asyncio.Timeout, at: float) -> None:
    """Let a scope expire at another time, unless it already has.

    The task that is to be cancelled may not have run since then.

    :param at: time of the event loop, in seconds.
    """
    if not scope.expired():
        scope.reschedule(at)
