"""Publishing to all daemons the groups of a domain, by records of the directory.

Owns: the sequence of this keeper's records.
Relies on: the epoch, by which records of an earlier holder lose.
"""

import typing as t

from thorncleat_core.daemon.directory import Record
from thorncleat_core.daemon.groups import Group
from thorncleat_core.daemon.journal import State

from .gossip import Gossip


class GroupPublisher:
    """Publishes the groups of one domain under one epoch.

    :param config: the current configuration; a group that was placed anew beats its past.
    """

    def __init__(
        self, domain: str, epoch: int, gossip: Gossip, config: t.Callable[[], State]
    ) -> None:
        self._domain = domain
        self._epoch = epoch
        self._gossip = gossip
        self._config = config
        self._sequence = 0

    def publish(self, group: Group, *, is_open: bool) -> None:
        """Publish what a group is."""
        body = {
            "domain": self._domain,
            "intent": group.intent,
            "model": group.model,
            "version": group.version,
            "generation": group.generation,
            "members": list(group.members),
            "open": is_open,
            "epoch": self._epoch,
        }
        self._publish(group, body)

    def publish_removed(self, group: Group) -> None:
        """Publish that a group is gone."""
        self._publish(group, {"gone": True, "domain": self._domain})

    def _publish(self, group: Group, body: dict[str, t.Any]) -> None:
        self._sequence += 1
        placed = self._config().placements.get(group.id)
        revision = placed.revision if placed else 0
        version = (revision, self._epoch, group.generation, self._sequence)
        self._gossip.publish(Record(f"group/{group.id}", version, body))
