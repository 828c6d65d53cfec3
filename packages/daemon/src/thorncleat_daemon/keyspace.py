"""The keys of the daemons' durable data in the platform's store.

Owns: nothing.
Relies on: the same cluster name on all daemons; a changed key would lose its data.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Keyspace:
    """All keys of one cluster.

    :param cluster: the cluster's name.
    """

    cluster: str

    @property
    def head(self) -> str:
        """The key of the newest configuration's revision and digest."""
        return f"{self._root}/config/head"

    @property
    def snapshot(self) -> str:
        """The key of a snapshot of the configuration, which later entries extend."""
        return f"{self._root}/config/snapshot"

    @property
    def entries(self) -> str:
        """The prefix of all journal entries."""
        return f"{self._root}/config/entry/"

    def entry(self, revision: int) -> str:
        """Return the key of a journal entry."""
        return f"{self.entries}{revision:012d}"

    def shard(self, number: int) -> str:
        """Return the prefix of a shard's keys."""
        return f"{self._root}/shard/{number:04d}/"

    def holder(self, number: int) -> str:
        """Return the key that a shard's holder writes under its lease."""
        return self.shard(number) + "holder"

    def epoch(self, number: int) -> str:
        """Return the key of a shard's newest epoch."""
        return self.shard(number) + "epoch"

    def domain(self, name: str) -> str:
        """Return the key of a fabric domain's assignments."""
        return f"{self._root}/domain/{name}"

    def claims(self, shard: int) -> str:
        """Return the prefix of a shard's claims."""
        return f"{self._root}/claims/{shard:04d}/"

    def claim_batch(self, shard: int, hour: int, epoch: int, number: int) -> str:
        """Return the key of one batch of claims."""
        return f"{self.claims(shard)}{hour:08d}/{epoch:08d}-{number:010d}"

    @property
    def _root(self) -> str:
        return f"/thorncleat/{self.cluster}"
