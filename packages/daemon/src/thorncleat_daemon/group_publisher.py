"""Publishing a domain's groups to all daemons as directory records.

Owns: the sequence number of the records.
Relies on: the epoch, which makes the records of a later holder win.
"""

import typing as t

from thorncleat_core.daemon.directory import Record
from thorncleat_core.daemon.groups import Group
from thorncleat_core.daemon.journal import State

from .gossip import Gossip


class GroupPublisher:
    """Publishes the groups of one domain under one epoch.

    :param config: returns the current configuration; a group's newest placement outranks others.
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
        """Publish the state of a group."""
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
        """Publish that a group was removed."""
        self._publish(group, {"gone": True, "domain": self._domain})

    def _publish(self, group: Group, body: dict[str, t.Any]) -> None:
        self._sequence += 1
        placed = self._config().placements.get(group.id)
        revision = placed.revision if placed else 0
        version = (revision, self._epoch, group.generation, self._sequence)
        self._gossip.publish(Record(f"group/{group.id}", version, body))
