"""The groups that the controller is ending; no daemon sends them requests.

Without the controller's messages, each daemon would try a dead leader again whenever its own
suspicion expired, and all at once, since that leader has the least load.

Owns: until when each group that is being ended gets no requests, and when it was last broadcast.
Relies on: the controller's repeated messages (:meth:`.GroupEnding.broadcast`), since datagrams may
be lost.
"""

import dataclasses
import typing as t

from ..peers.datagrams import PeerChannel
from ..peers.messages import GroupEnded
from ..peers.messages import GroupKept
from ..peers.messages import Message
from ..store.roster import GroupId

# How long a group stays excluded after the controller's last message; after that it is used again,
# in case that controller has been replaced.
ENDED_TTL_SECONDS = 3.0
# Interval between two messages about the same group.
BROADCAST_INTERVAL_SECONDS = 0.5


@dataclasses.dataclass
class _EndedGroup:
    """State of a group that is being ended.

    :param until: when the group may be used again.
    :param sent_at: when this daemon last broadcast the message about it.
    """

    until: float
    sent_at: float = float("-inf")


class EndedGroups:
    """Broadcasts which groups are being ended, and holds those reported by other daemons."""

    def __init__(self, peers: PeerChannel, clock: t.Callable[[], float]) -> None:
        self._peers = peers
        self._clock = clock
        self._groups: dict[GroupId, _EndedGroup] = {}
        peers.on_message(self._on_message)

    def __contains__(self, group: GroupId) -> bool:
        entry = self._groups.get(group)
        return entry is not None and entry.until > self._clock()

    def broadcast(self, group: GroupId) -> None:
        """Broadcast that this daemon, the controller, is ending a group."""
        now = self._clock()
        entry = self._refresh(group)
        if now - entry.sent_at >= BROADCAST_INTERVAL_SECONDS:
            entry.sent_at = now
            self._peers.broadcast(GroupEnded(group))

    def keep(self, group: GroupId, leader: str) -> None:
        """Use a group again whose end is given up, and tell the other daemons.

        :param leader: id of its leader.
        """
        self._groups.pop(group, None)
        self._peers.broadcast(GroupKept(group, leader))

    def _on_message(self, sender: str, message: Message) -> None:
        if isinstance(message, GroupEnded):
            self._refresh(message.group)
        elif isinstance(message, GroupKept):
            self._groups.pop(message.group, None)

    def _refresh(self, group: GroupId) -> _EndedGroup:
        until = self._clock() + ENDED_TTL_SECONDS
        entry = self._groups.get(group)
        if entry is None:
            self._discard_expired()
            entry = self._groups[group] = _EndedGroup(until)
        entry.until = until
        return entry

    def _discard_expired(self) -> None:
        now = self._clock()
        self._groups = {group: entry for group, entry in self._groups.items() if entry.until > now}
