"""Mapping of keys to shards, and of shards to their candidates and holders.

Owns: nothing; it is computed from the membership and the directory.
Relies on: the same number of shards in all daemons' settings.
"""

from thorncleat_core import rendezvous

from .gossip import Gossip

# Number of daemons that may acquire a shard.
CANDIDATE_COUNT = 3


class ShardMap:
    """The control shards as seen by one daemon.

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
        """Return the daemons that may acquire a shard, the preferred one first."""
        alive = self._gossip.members.alive
        return rendezvous.rank(f"shard/{shard}", alive)[:CANDIDATE_COUNT]

    def rank(self, shard: int) -> int | None:
        """Return this daemon's rank among a shard's candidates, or None."""
        alive = self._gossip.members.alive
        return rendezvous.rank_of(f"shard/{shard}", self._me, alive, CANDIDATE_COUNT)

    def holder_of(self, shard: int) -> str | None:
        """Return the daemon last published as the holder of a shard, or None."""
        record = self._gossip.directory.get(f"shard/{shard}")
        return str(record.body["holder"]) if record and record.body.get("holder") else None
