"""Rules for which fabric domain moves to which model, by the demand for the models.

The load that this answers: one model's groups are full for a long time while another model's are
half empty. A move costs a load of all hosts of a domain, so it has to bring much more than it
takes, and it is made for a lasting need only.

A domain moves only from a model of larger groups to one of much smaller groups, so no sequence of
moves is a cycle. The way back is the operators': they delete the record.

Owns: no state.
Relies on: :mod:`.demand` for the demand, :mod:`.domain_moves` to carry a move out.
"""

import collections
import dataclasses
import typing as t

from ..store.serving import Engine
from .demand import RELIEVED_UTILIZATION
from .demand import ModelDemand
from .formation import MIN_FAILURE_DOMAINS

# For how long a model must be in need: longer than a burst of a few seconds and than the formation
# of lost groups from spares, after which the need is over without a move.
NEED_SECONDS = 8.0
# The utilization of the giving model after the move and after the loss of a failure domain. It must
# not be in need then, so its callers are served even if they ask for half as much again.
GIVING_LIMIT = RELIEVED_UTILIZATION
# Slots gained for each slot given up.
MIN_GAIN = 3.0
# The giving model's groups must be more than this many times as large. In a domain that has lost
# endpoints, rounding alone makes three groups of one where the sizes differ by a factor of two.
MIN_SIZE_RATIO = 2


@dataclasses.dataclass(frozen=True)
class Move:
    """The move of a domain from one model to another.

    :param is_closing: whether the domain's former groups are being ended; before that its hosts
        load the new model.
    """

    domain: str
    giving: str
    receiving: str
    is_closing: bool = False


@dataclasses.dataclass(frozen=True)
class PlacedDomain:
    """A fabric domain that carries a single model.

    :param size: largest recent number of endpoints.
    :param groups: number of open groups of its model that get requests.
    """

    name: str
    model: str
    size: int
    failure_domain: str
    groups: int


def choose_move(
    domains: t.Sequence[PlacedDomain], demands: t.Mapping[str, ModelDemand], engine: Engine
) -> Move | None:
    """Return the move to begin, or None; the model with the highest utilization comes first.

    Among the domains that can move, one in a failure domain where the model in need has the fewest
    domains and the giving model the most is preferred.
    """
    in_need = [
        model
        for model, demand in demands.items()
        if demand.need_seconds >= NEED_SECONDS and engine.model(model) is not None
    ]
    counts = collections.Counter((domain.model, domain.failure_domain) for domain in domains)
    for receiving in sorted(in_need, key=lambda model: (-demands[model].utilization, model)):
        options = [
            domain for domain in domains if _can_move(domain, receiving, domains, demands, engine)
        ]
        if options:
            best = min(
                options,
                key=lambda domain: (
                    counts[receiving, domain.failure_domain],
                    -counts[domain.model, domain.failure_domain],
                    domain.name,
                ),
            )
            return Move(best.name, best.model, receiving)
    return None


def _can_move(
    domain: PlacedDomain,
    receiving: str,
    domains: t.Sequence[PlacedDomain],
    demands: t.Mapping[str, ModelDemand],
    engine: Engine,
) -> bool:
    """Return whether a domain may move to a model in need."""
    demand = demands.get(domain.model)
    if domain.model == receiving or not domain.groups or demand is None:
        return False
    kept = [
        other
        for other in domains
        if other.model == domain.model and other.name != domain.name and other.groups
    ]
    return (
        is_worth_moving(domain, receiving, engine)
        and len({other.failure_domain for other in kept}) >= MIN_FAILURE_DOMAINS
        and demand.busiest < GIVING_LIMIT * engine.slots * _groups_after_a_loss(kept)
    )


def is_worth_moving(domain: PlacedDomain, receiving: str, engine: Engine) -> bool:
    """Return whether a domain gives a model many more slots than its present model gives up."""
    giver, receiver = engine.model(domain.model), engine.model(receiving)
    if giver is None or receiver is None or giver.size <= MIN_SIZE_RATIO * receiver.size:
        return False
    given = domain.size // giver.size
    return given > 0 and domain.size // receiver.size >= MIN_GAIN * given


def _groups_after_a_loss(domains: t.Sequence[PlacedDomain]) -> int:
    """Return the number of groups after the loss of the failure domain that has the most."""
    by_failure_domain: collections.Counter[str] = collections.Counter()
    for domain in domains:
        by_failure_domain[domain.failure_domain] += domain.groups
    return by_failure_domain.total() - max(by_failure_domain.values(), default=0)


def groups_to_close(in_domain: int, elsewhere: int, demand: ModelDemand, engine: Engine) -> int:
    """Return how many groups of a moving domain may be closed now.

    :param in_domain: open groups of the giving model in the domain.
    :param elsewhere: its open groups in other domains.
    :returns: the most that keep the giving model within its limit.
    """
    needed = demand.busiest / (GIVING_LIMIT * engine.slots)
    return max(0, min(in_domain, int(in_domain + elsewhere - needed)))
