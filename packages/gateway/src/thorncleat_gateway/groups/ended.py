"""Groups that the controller is ending: no daemon sends them requests.

A group that is ended never serves again, so what the controller says of it is kept until the
list shows the same. Without it each daemon would try a dead leader anew whenever its own
suspicion had run out, and all at once, since that leader has the least load.

Owns: until when each group that is being ended is left alone, and when the others were told.
Relies on: the controller's repeating itself (:meth:`.GroupEnding.tell`); datagrams are lost.
"""

import dataclasses
import typing as t

from ..peers.datagrams import GroupEnded
from ..peers.datagrams import Message
from ..peers.datagrams import PeerChannel
from ..store.roster import GroupId

# after the controller's last message, in seconds; if it was wrong, or another controls by now,
# the group is used again
KEEP_SECONDS = 3.0
# between two messages on a group, in seconds
REPEAT_SECONDS = 0.5


@dataclasses.dataclass
class _Ended:
    """What is kept of a group that is being ended.

    :param until: when it may be used again.
    :param told_at: when this daemon last told the others.
    """

    until: float
    told_at: float = float("-inf")


class EndedGroups:
    """Tells the other daemons, and remembers what they told."""

    def __init__(self, peers: PeerChannel, clock: t.Callable[[], float]) -> None:
        self._peers = peers
        self._clock = clock
        self._groups: dict[GroupId, _Ended] = {}
        peers.on_message(self._message)

    def __contains__(self, group: GroupId) -> bool:
        kept = self._groups.get(group)
        return kept is not None and kept.until > self._clock()

    def tell(self, group: GroupId) -> None:
        """Tell the other daemons that this one, the controller, is ending a group."""
        now = self._clock()
        kept = self._keep(group)
        if now - kept.told_at >= REPEAT_SECONDS:
            kept.told_at = now
            self._peers.broadcast(GroupEnded(group))

    def _message(self, sender: str, message: Message) -> None:
        if isinstance(message, GroupEnded):
            self._keep(message.group)

    def _keep(self, group: GroupId) -> _Ended:
        until = self._clock() + KEEP_SECONDS
        kept = self._groups.get(group)
        if kept is None:
            self._forget_expired()
            kept = self._groups[group] = _Ended(until)
        kept.until = until
        return kept

    def _forget_expired(self) -> None:
        now = self._clock()
        self._groups = {group: kept for group, kept in self._groups.items() if kept.until > now}
