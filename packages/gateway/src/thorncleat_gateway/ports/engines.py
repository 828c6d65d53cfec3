"""Reports from engines and orders to them.

Owns: nothing.
Relies on: engines counting the orders that they have begun, so that an order can be refused by
one that has begun another since its report.
"""

import dataclasses
import enum
import typing as t

from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import Membership
from .headers import AnswerMeta


@dataclasses.dataclass(frozen=True)
class Join:
    """Become a member of a group.

    :param members: endpoint ids, the leader first.
    """

    group: GroupId
    model: str
    members: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Open:
    """Let a group's leader answer requests."""

    group: GroupId


@dataclasses.dataclass(frozen=True)
class Close:
    """Let a group's leader take no new requests, and finish those that it has."""

    group: GroupId


@dataclasses.dataclass(frozen=True)
class Leave:
    """Leave a group at once."""

    group: GroupId


@dataclasses.dataclass(frozen=True)
class Load:
    """Load a model onto the host."""

    model: str


Order = Join | Open | Close | Leave | Load


class Outcome(enum.Enum):
    """How an endpoint answered an order.

    Done: it is so already. Begun: it will be. Conflict: the order doesn't fit the engine's state,
    or it has begun another one. Stale: the order's epoch is older than one it has seen. Invalid:
    it knows no such order.
    """

    DONE = "done"
    BEGUN = "begun"
    CONFLICT = "conflict"
    STALE = "stale"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """What an engine says of itself when asked.

    :param models: those that it has loaded.
    :param staged: those that lie on its host.
    :param order_count: orders that it has begun since its start.
    :param born: when that was, in Unix milliseconds; None if it doesn't tell.
    :param pace: times the usual duration that its steps take.
    """

    membership: Membership | None
    models: tuple[str, ...]
    staged: tuple[str, ...]
    order_count: int
    born: int | None = None
    pace: float = 1.0

    def counts_as(self, other: "EngineReport") -> bool:
        """Return whether no order was begun between two reports of an engine."""
        return (self.born, self.order_count) == (other.born, other.order_count)


class Engines(t.Protocol):
    """Reports from engines and orders to them.

    Every call raises :class:`EndpointTimeoutError`, :class:`EndpointReplacedError` and
    :class:`EndpointRefusedError`.
    """

    def on_answer(self, listener: t.Callable[[Endpoint, AnswerMeta], None]) -> None:
        """Call a function with what the headers of each answer say."""
        ...

    async def report(self, endpoint: Endpoint, timeout: float) -> EngineReport:
        """Ask an engine how it stands.

        :param timeout: seconds.
        """
        ...

    async def order(
        self, endpoint: Endpoint, order: Order, expected: int | None, timeout: float
    ) -> Outcome:
        """Give an order.

        :param expected: orders that the engine must have begun before; None for any number.
        :param timeout: seconds for the answer.
        """
        ...
