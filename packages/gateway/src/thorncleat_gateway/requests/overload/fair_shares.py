"""Max-min fair shares of workspaces in the slots of a model.

Owns: nothing; every rule is a pure function.
Relies on: :mod:`.admission` for the pressure from which shares count, and
:mod:`...peers.workspace_loads` for the running requests of all daemons.
"""

import typing as t

from .admission import PRESSURE_THRESHOLD


def fair_share(running: t.Mapping[str, int], capacity: float) -> float:
    """Return the running requests up to which a workspace is within its max-min fair share.

    Workspaces with less than an equal share keep what they have, and the others divide the rest
    equally. All workspaces have the same weight.

    :param running: running requests by workspace.
    :returns: infinity if all running requests fit into the capacity.
    """
    left, count = capacity, len(running)
    for requests in sorted(running.values()):
        share = left / count
        if requests > share:
            return share
        left -= requests
        count -= 1
    return float("inf")


def is_over_share(workspace: str, running: t.Mapping[str, int], slots: int) -> bool:
    """Return whether a workspace has more than its fair share while a model is under pressure.

    What is divided is the capacity up to the pressure from which shares count. A single workspace
    competes with no other, so it may use all.
    """
    if len(running) < 2:
        return False
    return running.get(workspace, 0) > fair_share(running, PRESSURE_THRESHOLD * slots)
