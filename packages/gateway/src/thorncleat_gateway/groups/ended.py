"""Groups that the controller is ending: no daemon sends them requests.

A group that is ended never serves again, so what the controller says of it is kept until the
list shows the same. Without it each daemon would try a dead leader anew whenever its own
suspicion had run out, and all at once, since that leader has the least load.

Owns: until when each group that is being ended is left alone, and when the others were told.
Relies on: the controller's repeating itself (:meth:`.GroupEnding.broadcast`); datagrams are lost.
"""

import dataclasses
import typing as t

from ..peers.datagrams import GroupEnded
from ..peers.datagrams import Message
from ..peers.datagrams import PeerChannel
from ..store.roster import GroupId

# after the controller's last message, in seconds; if it was wrong, or another controls by now,
# the group is used again
ENDED_TTL_SECONDS = 3.0
# between two messages on a group, in seconds
BROADCAST_INTERVAL_SECONDS = 0.5


@dataclasses.dataclass
class _EndedGroup:
    """What is kept of a group that is being ended.

    :param until: when it may be used again.
    :param told_at: when this daemon last told the others.
    """

    until: float
    sent_at: float = float("-inf")


class EndedGroups:
    """Tells the other daemons, and remembers what they told."""

    def __init__(self, peers: PeerChannel, clock: t.Callable[[], float]) -> None:
        self._peers = peers
        self._clock = clock
        self._groups: dict[GroupId, _EndedGroup] = {}
        peers.on_message(self._on_message)

    def __contains__(self, group: GroupId) -> bool:
        entry = self._groups.get(group)
        return entry is not None and entry.until > self._clock()

    def broadcast(self, group: GroupId) -> None:
        """Tell the other daemons that this one, the controller, is ending a group."""
        now = self._clock()
        entry = self._refresh(group)
        if now - entry.sent_at >= BROADCAST_INTERVAL_SECONDS:
            entry.sent_at = now
            self._peers.tell_all(GroupEnded(group))

    def _on_message(self, sender: str, message: Message) -> None:
        if isinstance(message, GroupEnded):
            self._refresh(message.group)

    def _refresh(self, group: GroupId) -> _EndedGroup:
        until = self._clock() + ENDED_TTL_SECONDS
        entry = self._groups.get(group)
        if entry is None:
            self._forget_expired()
            entry = self._groups[group] = _EndedGroup(until)
        entry.until = until
        return entry

    def _forget_expired(self) -> None:
        now = self._clock()
        self._groups = {group: entry for group, entry in self._groups.items() if entry.until > now}
