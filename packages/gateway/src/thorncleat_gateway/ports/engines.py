"""Reports from engines and orders to them.

Owns: nothing.
Relies on: engines counting the orders that they have begun, so that an engine can refuse an order
if it has begun another one since its report.
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
    """Make a group's leader refuse new requests and finish its running ones."""

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
    """The answer of an endpoint to an order."""

    # The engine is already in the ordered state.
    DONE = "done"
    # The engine carries out the order.
    BEGUN = "begun"
    # The order doesn't fit the engine's state, or the engine has begun another order.
    CONFLICT = "conflict"
    # The order's epoch is older than one that the engine has seen.
    STALE = "stale"
    # The engine doesn't support the order.
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """An engine's report of its state.

    :param models: the loaded models.
    :param staged: models that are stored on its host.
    :param order_count: how many orders it has begun since its start.
    :param born: Unix milliseconds of its start; None if not reported.
    :param pace: duration of its steps as a multiple of the usual one.
    """

    membership: Membership | None
    models: tuple[str, ...]
    staged: tuple[str, ...]
    order_count: int
    born: int | None = None
    pace: float = 1.0

    def has_same_order_count(self, other: "EngineReport") -> bool:
        """Return whether the engine has begun no order between two reports."""
        return (self.born, self.order_count) == (other.born, other.order_count)


class Engines(t.Protocol):
    """Reports from engines and orders to them.

    Every call may raise :class:`EndpointTimeoutError`, :class:`EndpointReplacedError` or
    :class:`EndpointRefusedError`.
    """

    def on_answer(self, listener: t.Callable[[Endpoint, AnswerMeta], None]) -> None:
        """Call a function with each answer's endpoint and the meaning of its headers."""
        ...

    async def report(self, endpoint: Endpoint, timeout: float) -> EngineReport:
        """Return an engine's report.

        :param timeout: seconds to wait for the answer.
        """
        ...

    async def order(
        self, endpoint: Endpoint, order: Order, expected: int | None, timeout: float
    ) -> Outcome:
        """Send an order, and return the engine's answer.

        :param expected: how many orders the engine must have begun before; None for any number.
        :param timeout: seconds to wait for the answer.
        """
        ...
