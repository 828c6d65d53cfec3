"""Bounds the bytes of callers' bodies that this daemon holds.

A burst of requests with large bodies would otherwise take all memory of the process, and end the
requests of all callers. A body that doesn't come to its end keeps no other one out for long: if
there is no room, the one that is longest on its way is given up.

Owns: the number of bytes held, and the bodies that are on their way.
Relies on: the frontend to release what a request holds when it ends, since a request that may be
sent again needs its body until then.
"""

import contextlib
import typing as t

from thorncleat_core import clock as boot_clock
from thorncleat_core.clock import Clock

from ..requests import retry_after
from ..requests.refusal import Refusal
from ..store.serving import Route
from ..store.serving import ServingConfiguration
from ..store.serving import Workspace
from .bounded_log import Cause

# Part of the process's memory for bodies. Each body may be in memory twice while it is received or
# sent, and the rest is for answers, connections and the program itself.
MEMORY_FRACTION = 0.25
# Part of the bound from which on only the most urgent requests are accepted.
LESS_URGENT_FRACTION = 0.75
# A larger body is held twice once it is complete: while it is joined, and while it is sent.
MAX_UNCOPIED_BYTES = 65_536
# How long a body may stand still, and be on its way, before it is given up for others.
STALLED_SECONDS = 0.2
LATE_SECONDS = 2.0
# One that holds so many times what another one needs is given up at once.
MUCH_LARGER_FACTOR = 64
OUT_OF_MEMORY = Refusal(503, Cause.BODY_MEMORY.value, retry_after.PLAIN_SECONDS)


def is_most_urgent(
    configuration: ServingConfiguration, route: Route, workspace: Workspace | None
) -> bool:
    """Return whether no other request of the configuration can be more urgent."""
    if any(other.priority < route.priority for other in configuration.routes):
        return False
    own = workspace.priority if workspace is not None else 0
    return all(other.priority >= own for other in configuration.workspaces)


class BodyBudget:
    """The bytes that all bodies together may take.

    :param memory: bytes that the process may use; None for no bound.
    :ivar held: bytes held.
    :ivar refused: number of refused requests.
    """

    def __init__(self, memory: int | None, clock: Clock = boot_clock.now) -> None:
        self._limit = None if memory is None else int(memory * MEMORY_FRACTION)
        self._clock = clock
        # In the order in which they began.
        self._unfinished: dict[HeldBody, None] = {}
        self.held = 0
        self.refused = 0

    def has_room(self, size: int, *, is_urgent: bool) -> bool:
        """Return whether a number of bytes may be held in addition."""
        if self._limit is None:
            return True
        fraction = 1.0 if is_urgent else LESS_URGENT_FRACTION
        return self.held + size <= self._limit * fraction

    @contextlib.contextmanager
    def hold(
        self, is_urgent: t.Callable[[], bool], give_up: t.Callable[[], None] = lambda: None
    ) -> t.Iterator["HeldBody"]:
        """Return a context in which one request's body is held.

        :param is_urgent: returns whether the request is of the most urgent kind; called only where
            it matters.
        :param give_up: ends the receiving of the body, for which there is no room any more.
        """
        body = HeldBody(self, is_urgent, give_up, self._clock)
        self._unfinished[body] = None
        try:
            yield body
        finally:
            self.finish(body)
            self.held -= body.reserved

    def finish(self, body: "HeldBody") -> None:
        """Record that a body is complete, or that no more of it is received."""
        self._unfinished.pop(body, None)

    def make_room(self, size: int, body: "HeldBody") -> None:
        """Give up others that are on their way until there is room for more bytes of a body."""
        for other in list(self._unfinished):
            if body.may_take(size):
                return
            if other is not body and other.may_be_abandoned(size):
                other.abandon()


class HeldBody:
    """The bytes of one request's body.

    :ivar reserved: bytes that count towards the budget.
    """

    def __init__(
        self,
        budget: BodyBudget,
        is_urgent: t.Callable[[], bool],
        give_up: t.Callable[[], None],
        clock: Clock,
    ) -> None:
        self._budget = budget
        self._is_urgent = is_urgent
        self._give_up = give_up
        self._clock = clock
        self._began_at = self._progressed_at = clock()
        self.reserved = 0

    def may_take(self, more: int) -> bool:
        """Return whether there is room for more bytes."""
        budget = self._budget
        return budget.has_room(more, is_urgent=False) or (
            budget.has_room(more, is_urgent=True) and self._is_urgent()
        )

    def require(self, more: int) -> None:
        """Make room for more bytes, which aren't reserved before they arrive.

        :raises RefusalError: if there is none.
        """
        if not self.may_take(more):
            self._budget.make_room(more, self)
        if not self.may_take(more):
            self._budget.refused += 1
            raise OUT_OF_MEMORY.error()

    def reserve(self, size: int) -> None:
        """Reserve memory for a body of at least a number of bytes.

        :param size: bytes of the body so far.
        :raises RefusalError: if that would exceed the budget.
        """
        more = size - self.reserved
        if more <= 0:
            return
        self.require(more)
        self._budget.held += more
        self.reserved = size
        self._progressed_at = self._clock()

    def may_be_abandoned(self, size: int) -> bool:
        """Return whether an unfinished body may be given up for more bytes of another one."""
        now = self._clock()
        is_slow = (
            now - self._progressed_at >= STALLED_SECONDS or now - self._began_at >= LATE_SECONDS
        )
        is_much_larger = self.reserved >= size * MUCH_LARGER_FACTOR
        return self.reserved > 0 and (is_slow or is_much_larger)

    def finish(self) -> None:
        """Record that the body is complete, so that it isn't given up for others.

        :raises RefusalError: if there is no room for its copy.
        """
        if self.reserved > MAX_UNCOPIED_BYTES:
            self.reserve(2 * self.reserved)
        self._budget.finish(self)

    def abandon(self) -> None:
        """Give the body up for others."""
        self._budget.finish(self)
        self._budget.refused += 1
        self._budget.held -= self.reserved
        self.reserved = 0
        self._give_up()
