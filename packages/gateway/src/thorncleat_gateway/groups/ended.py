"""Groups that the controller is ending: no daemon sends them requests.

A group that is ended never serves again, so the controller's word on it is kept until the
list shows the same. Without it each daemon would try a dead leader anew whenever its own
suspicion had run out, and all at once, since that leader has the least load.
"""

import typing as t

from ..peers.datagrams import GroupEnded
from ..peers.datagrams import Message
from ..peers.datagrams import PeerChannel
from ..store.roster import GroupId

# after the controller's last word; if it was wrong, or another controls by now, the group is
# used again
KEEP_SECONDS = 3.0
# between two words, since datagrams are lost
REPEAT_SECONDS = 0.5


class EndedGroups:
    """Tells the others, and knows what was told."""

    def __init__(self, peers: PeerChannel, clock: t.Callable[[], float]) -> None:
        self._peers = peers
        self._clock = clock
        self._told_at: dict[GroupId, float] = {}
        self._until: dict[GroupId, float] = {}
        peers.on_message(self._message)

    def __contains__(self, group: GroupId) -> bool:
        return self._until.get(group, 0.0) > self._clock()

    def tell(self, group: GroupId) -> None:
        """Say that this daemon, the controller, is ending a group."""
        now = self._clock()
        self._note(group)
        if now - self._told_at.get(group, float("-inf")) >= REPEAT_SECONDS:
            self._told_at[group] = now
            self._peers.tell_all(GroupEnded(group))

    def _message(self, sender: str, message: Message) -> None:
        if isinstance(message, GroupEnded):
            self._note(message.group)

    def _note(self, group: GroupId) -> None:
        now = self._clock()
        self._until = {key: until for key, until in self._until.items() if until > now}
        self._told_at = {key: at for key, at in self._told_at.items() if key in self._until}
        self._until[group] = now + KEEP_SECONDS
