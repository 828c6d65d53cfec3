"""Which shard a key belongs to, which daemons may hold it, and which one says it does.

Owns: nothing; it is computed from the membership and the directory's records.
Relies on: all daemons having the same number of shards in their settings.
"""

from thorncleat_core import rendezvous

from .gossip import Gossip

# daemons that may take a shard
CANDIDATE_COUNT = 3


class ShardMap:
    """The shards of the control work, as one daemon sees them.

    :param me: this daemon's id.
    :param count: number of control shards.
    """

    def __init__(self, me: str, gossip: Gossip, count: int) -> None:
        self._me = me
        self._gossip = gossip
        self.count = count

    def shard_of(self, key: str) -> int:
        """Return the shard of a fabric domain or a claim key."""
        return rendezvous.shard_of(key, self.count)

    def candidates(self, shard: int) -> list[str]:
        """Return the daemons that may take a shard, the preferred one first."""
        alive = self._gossip.members.alive
        return rendezvous.ranked(f"shard/{shard}", alive)[:CANDIDATE_COUNT]

    def rank(self, shard: int) -> int | None:
        """Return this daemon's place among a shard's candidates; None if it is none."""
        alive = self._gossip.members.alive
        return rendezvous.place(f"shard/{shard}", self._me, alive, CANDIDATE_COUNT)

    def holder_of(self, shard: int) -> str | None:
        """Return the daemon that last said it holds a shard."""
        record = self._gossip.directory.get(f"shard/{shard}")
        return str(record.body["holder"]) if record and record.body.get("holder") else None
