"""Weighted max-min shares of a group's capacity between workspaces, over all daemons.

Owns: nothing.
Relies on: the demands that daemons name when they ask for permits.
"""

import collections
import typing as t


def max_min(
    capacity: float, demand: t.Mapping[str, float], weights: t.Mapping[str, float]
) -> dict[str, float]:
    """Divide a capacity: nobody gets more than asked, and what one leaves the others share.

    :param capacity: what there is to divide.
    :param demand: what each one asks for.
    :param weights: each one's weight, 1 if it has none.
    """
    granted = dict.fromkeys(demand, 0.0)
    left = capacity
    # whoever asks least for its weight is satisfied first, so one pass is enough
    order = sorted(demand, key=lambda name: demand[name] / weights.get(name, 1.0))
    weight_left = sum(weights.get(name, 1.0) for name in order)
    for name in order:
        weight = weights.get(name, 1.0)
        granted[name] = min(demand[name], left * weight / weight_left)
        left -= granted[name]
        weight_left -= weight
    return granted


def divide(
    capacity: int,
    demands: t.Mapping[str, t.Mapping[str, int]],
    weights: t.Mapping[str, float],
    daemon: str,
) -> tuple[dict[str, int], int]:
    """Return one daemon's credits for each workspace, and its part of what nobody asks for.

    :param capacity: of the group, in tokens.
    :param demands: of each daemon, for each workspace.
    """
    total: collections.Counter[str] = collections.Counter()
    for demand in demands.values():
        total.update(demand)
    wanted = {name: float(amount) for name, amount in total.items() if amount > 0}
    granted = max_min(capacity, wanted, weights)
    mine = demands.get(daemon, {})
    # rounded down for each daemon, so that the sum never exceeds the capacity
    credits = {
        name: int(granted[name] * mine[name] / total[name])
        for name in granted
        if mine.get(name, 0) > 0
    }
    unasked = capacity - sum(granted.values())
    return credits, int(unasked / max(1, len(demands)))
