"""Selects a group by the expected time until the first event.

Answers a load in which callers compete for too few slots, failure domains have unequal demand,
and some groups are several times slower than the others.

Owns: nothing; every rule is a function of the estimates, and of the random samples.
Relies on: :mod:`.group_times` for the estimates.
"""

import random
import typing as t

from ..store.roster import Endpoint

# Groups in a sample. Load reports are up to 0.5 s old, and daemons that all chose the soonest group
# would overload it until the next reports.
SAMPLE_SIZE = 2
# Requests at a group of the own failure domain, against the mean of all groups of the model, up to
# which other failure domains are left alone. While a third of the groups is slow, the others get
# one and a half times the mean; with this factor on top they stay below twice the mean.
MAX_LOCAL_LOAD = 1.2
# Upper bound of the random part of a weight, as a fraction of it. Keeps daemons with the same view
# of the loads from choosing the same group.
SPREAD = 0.05
# Addition to the weight of a group to which a new connection is needed, as a fraction of it. A new
# connection holds a slot for a moment; the addition is no larger than the random part, so that
# groups with a kept connection aren't overloaded.
NEW_CONNECTION_FRACTION = SPREAD


class Candidate(t.NamedTuple):
    """A group that may get a request.

    :param first_event: expected seconds until the first event.
    :param weight: the same with the penalties for what makes the group unreliable, in seconds.
    :param running: requests that run or wait there.
    :param has_connection: whether this daemon keeps an idle connection to the leader.
    """

    leader: Endpoint
    first_event: float
    weight: float
    running: int
    has_connection: bool = False


class LoadBounds(t.NamedTuple):
    """How many requests a model's groups run and may get.

    :param slots: requests that a group runs at once.
    :param mean_running: requests that run or wait at a group on average.
    :param max_running: requests at which a group takes no more.
    """

    slots: int
    mean_running: float
    max_running: float


def choose(
    leaders: t.Sequence[Endpoint],
    failure_domain: str,
    left: float,
    bounds: LoadBounds,
    rate: t.Callable[[Endpoint], Candidate],
    has_connection: t.Callable[[Endpoint], bool] = lambda _: False,
) -> Endpoint | None:
    """Return the leader whose group answers soonest, of a sample; None if all groups are full.

    Groups of other failure domains are sampled if those of the own one aren't good enough, and all
    groups are rated before one is chosen that can't answer in time.

    :param failure_domain: of this daemon.
    :param left: seconds that are left until the first event must come.
    :param rate: returns the candidate of a leader.
    :param has_connection: returns whether this daemon keeps an idle connection to a leader; one of
        these in the own failure domain is sampled in addition.
    """
    local = [leader for leader in leaders if leader.failure_domain == failure_domain]
    remote = [leader for leader in leaders if leader.failure_domain != failure_domain]
    connected = [leader for leader in local if has_connection(leader)]
    sampled = [rate(leader) for leader in _sample(local)]
    if connected:
        sampled.append(rate(random.choice(connected)))
    best = _soonest(sampled)
    if best is not None and best.weight <= left and _has_local_capacity(best, bounds):
        return best.leader
    sampled += [rate(leader) for leader in _sample(remote)]
    best = _soonest(sampled)
    if best is not None and best.weight <= left and best.running < bounds.slots:
        return best.leader
    return _choose_of_all([rate(leader) for leader in leaders], left, bounds)


def _choose_of_all(
    candidates: t.Sequence[Candidate], left: float, bounds: LoadBounds
) -> Endpoint | None:
    """Return the leader of the best group, after the rating of all."""
    usable = [candidate for candidate in candidates if candidate.running < bounds.max_running]
    free = [candidate for candidate in usable if candidate.running < bounds.slots]
    for limited in (
        [candidate for candidate in free if candidate.weight <= left],
        [candidate for candidate in usable if candidate.weight <= left],
        [candidate for candidate in usable if candidate.first_event <= left],
    ):
        if limited:
            best = _soonest(_sample(limited))
            return best.leader if best else None
    best = _soonest(free or usable)
    return best.leader if best else None


def _has_local_capacity(candidate: Candidate, bounds: LoadBounds) -> bool:
    """Return whether a group of the own failure domain gets no more than its part of the load."""
    is_even = candidate.running + 1 <= MAX_LOCAL_LOAD * (bounds.mean_running + 1)
    return is_even and candidate.running < bounds.slots


Item = t.TypeVar("Item")


def _sample(items: t.Sequence[Item]) -> list[Item]:
    return random.sample(items, min(SAMPLE_SIZE, len(items)))


def _soonest(candidates: t.Sequence[Candidate]) -> Candidate | None:
    return min(
        candidates,
        key=lambda candidate: candidate.weight * _factor(candidate),
        default=None,
    )


def _factor(candidate: Candidate) -> float:
    """Return the factor of a weight for the random part and a new connection."""
    new_connection = 0.0 if candidate.has_connection else NEW_CONNECTION_FRACTION
    return 1 + new_connection + random.random() * SPREAD
