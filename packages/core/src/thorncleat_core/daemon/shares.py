"""Weighted max-min fair shares of a group's capacity for the workspaces of all daemons.

Owns: nothing.
Relies on: the demands in the daemons' requests for permits.
"""

import collections
import typing as t


def max_min(
    capacity: float, demand: t.Mapping[str, float], weights: t.Mapping[str, float]
) -> dict[str, float]:
    """Return the max-min fair share of a capacity for each workspace.

    No workspace gets more than its demand. What it leaves is shared by the others.

    :param capacity: capacity to divide.
    :param demand: demand of each workspace.
    :param weights: weight of each workspace; 1 if it has none.
    """
    granted = dict.fromkeys(demand, 0.0)
    remaining = capacity
    # In the order of demand relative to weight, a single pass is sufficient.
    order = sorted(demand, key=lambda name: demand[name] / weights.get(name, 1.0))
    remaining_weight = sum(weights.get(name, 1.0) for name in order)
    for name in order:
        weight = weights.get(name, 1.0)
        granted[name] = min(demand[name], remaining * weight / remaining_weight)
        remaining -= granted[name]
        remaining_weight -= weight
    return granted


def divide(
    capacity: int,
    demands: t.Mapping[str, t.Mapping[str, int]],
    weights: t.Mapping[str, float],
    daemon: str,
) -> tuple[dict[str, int], int]:
    """Return a daemon's credits for each workspace, and its share of the unclaimed capacity.

    :param capacity: capacity of the group in tokens.
    :param demands: demand of each daemon for each workspace.
    :param weights: weight of each workspace; 1 if it has none.
    :param daemon: id of the daemon.
    """
    total: collections.Counter[str] = collections.Counter()
    for demand in demands.values():
        total.update(demand)
    demanded = {name: float(amount) for name, amount in total.items() if amount > 0}
    granted = max_min(capacity, demanded, weights)
    own = demands.get(daemon, {})
    # Rounding down keeps the sum over all daemons within the capacity.
    credits = {
        name: int(granted[name] * own[name] / total[name])
        for name in granted
        if own.get(name, 0) > 0
    }
    unclaimed = capacity - sum(granted.values())
    return credits, int(unclaimed / max(1, len(demands)))
