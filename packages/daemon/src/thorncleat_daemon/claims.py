"""Granting claims for the shards held here, and requesting them from other owners.

Owns: the claims of the shards held here, and their pending writes.
Relies on: the lease of each shard, checked before and after each write;
:mod:`thorncleat_core.daemon.claims` for the decisions.
"""

import asyncio
import dataclasses
import time
import typing as t

import mode

from thorncleat_core import clock
from thorncleat_core import codec
from thorncleat_core.daemon import claims
from thorncleat_core.daemon.budget import Purpose
from thorncleat_core.daemon.claims import Claim
from thorncleat_core.daemon.claims import ClaimAnswer
from thorncleat_core.daemon.claims import ClaimBook
from thorncleat_core.daemon.claims import Outcome
from thorncleat_core.daemon.claims import Reply
from thorncleat_core.daemon.leases import HeldLease
from thorncleat_core.exceptions import DecodeError

from . import background
from . import events
from . import retry_after
from .exceptions import PeerError
from .exceptions import RequestError
from .exceptions import StoreError
from .exceptions import StoreOutcomeUnknownError
from .exceptions import StoreUnavailableError
from .holder import ShardHolder
from .invariants import Invariant
from .invariants import Invariants
from .keyspace import Keyspace
from .ports import Erase
from .ports import KeyNotRecreated
from .ports import Peers
from .ports import Store
from .ports import Write
from .shard_map import ShardMap

# Claims are stored under the hour of their writing and deleted by whole hours.
SECONDS_PER_HOUR = 3600
MAX_BATCH_CLAIMS = 500
# Larger answers are not stored for repeated requests.
MAX_OUTCOME_BYTES = 65_536
CLEAN_INTERVAL_SECONDS = 600.0
# The owner's answer includes a write to the store.
ASK_TIMEOUT_SECONDS = 3.0
WRITER_PAUSE_SECONDS = 0.001
RESTORE_RETRY_SECONDS = 0.5


@dataclasses.dataclass
class _PendingWrite:
    claim: Claim
    done: "asyncio.Future[bool] | None"


class _OwnedShard:
    """The claims of one shard held by this daemon."""

    def __init__(self, lease: HeldLease, book: ClaimBook) -> None:
        self.lease = lease
        self.book = book
        self.is_restored = False
        self.pending: list[_PendingWrite] = []
        self.wake = asyncio.Event()
        self.last_batch_number = 0
        self.hours: set[int] = set()
        self.granted: set[tuple[str, str]] = set()
        self.task: asyncio.Task[None] | None = None


class ClaimOwner(mode.Service):
    """Grants claims on the shards held and writes them to the store in batches.

    Claims that arrive during a write go into the next batch, which bounds the rate of writes.

    :param keep: seconds until a claim expires.
    :param fenced: whether writes depend on the lease; False only in a test that must then fail.
    """

    def __init__(
        self,
        store: Store,
        keys: Keyspace,
        holder: ShardHolder,
        peers: Peers,
        keep: int,
        invariants: Invariants | None = None,
        *,
        fenced: bool = True,
    ) -> None:
        super().__init__()
        self._fenced = fenced
        self._invariants = invariants or Invariants()
        self._clock = clock.now
        self._store = store
        self._keys = keys
        self._shards = holder.shards
        self._keep = keep
        self._owned_shards: dict[int, _OwnedShard] = {}
        holder.on_change(self._on_acquired, self._on_lost)
        peers.handle("claim", self._on_claim)
        peers.handle("outcome", self._on_outcome)

    def _on_acquired(self, lease: HeldLease) -> None:
        owned = _OwnedShard(lease, ClaimBook(keep=self._keep))
        self._owned_shards[lease.shard] = owned
        owned.task = asyncio.create_task(
            background.repeat(
                f"claims {lease.shard}",
                lambda: self._run_writer(owned),
                WRITER_PAUSE_SECONDS,
                lambda: self.should_stop or owned.lease.deadline == 0,
            )
        )

    def _on_lost(self, shard: int) -> None:
        owned = self._owned_shards.pop(shard, None)
        if owned is None:
            return
        if owned.task:
            owned.task.cancel()
        for pending in owned.pending:
            if pending.done and not pending.done.done():
                pending.done.set_result(False)

    async def on_stop(self) -> None:
        """Stop the writers of all shards."""
        for shard in list(self._owned_shards):
            self._on_lost(shard)

    async def _run_writer(self, owned: _OwnedShard) -> None:
        if not owned.is_restored:
            await self._restore(owned)
        await owned.wake.wait()
        owned.wake.clear()
        while owned.pending:
            batch = owned.pending[:MAX_BATCH_CLAIMS]
            del owned.pending[:MAX_BATCH_CLAIMS]
            written = await self._write(owned, [pending.claim for pending in batch])
            for pending in batch:
                if pending.done and not pending.done.done():
                    pending.done.set_result(written)

    async def _restore(self, owned: _OwnedShard) -> None:
        prefix = self._keys.claims(owned.lease.shard)
        try:
            rows = await self._store.read_under(prefix, Purpose.CLAIM)
        except StoreError:
            await asyncio.sleep(RESTORE_RETRY_SECONDS)
            raise
        # Sorted by epoch and number, since clocks that step back make the hours unreliable.
        for row in sorted(rows, key=lambda row: row.key.rsplit("/", 1)[1]):
            owned.book.restore(claims.decode_batch(row.value))
            owned.hours.add(int(row.key.removeprefix(prefix).split("/")[0]))
        owned.book.expire(int(time.time()))
        owned.is_restored = True
        events.CLAIMS_RESTORED.log(shard=owned.lease.shard, claims=len(owned.book))

    async def _write(self, owned: _OwnedShard, batch: list[Claim]) -> bool:
        lease = owned.lease
        if not self._is_lease_held(lease):
            return False
        owned.last_batch_number += 1
        hour = int(time.time()) // SECONDS_PER_HOUR
        key = self._keys.claim_batch(lease.shard, hour, lease.epoch, owned.last_batch_number)
        value = claims.encode_batch(batch)
        condition = KeyNotRecreated(self._keys.holder(lease.shard), lease.create_revision)
        conditions = [condition] if self._fenced else []
        try:
            write = [Write(key, value)]
            done = await self._store.transact(conditions, write, Purpose.CLAIM) is not None
        except StoreOutcomeUnknownError:
            done = await self._read_back(key, value)
        except StoreError:
            return False
        owned.hours.add(hour)
        return done and self._is_lease_held(lease)

    async def _read_back(self, key: str, value: bytes) -> bool:
        try:
            stored = await self._store.read(key, Purpose.CLAIM)
        except StoreUnavailableError:
            return False
        events.STORE_READ_BACK.log(key=key, own=stored is not None)
        return stored is not None and stored.value == value

    def _is_lease_held(self, lease: HeldLease) -> bool:
        return not self._fenced or lease.is_held(self._clock())

    def _find_owned_shard(self, workspace: str, key: str) -> _OwnedShard | None:
        owned = self._owned_shards.get(self._shards.shard_of(claim_name(workspace, key)))
        if owned is None or not owned.is_restored or not self._is_lease_held(owned.lease):
            return None
        return owned

    async def _on_claim(self, sender: str, body: t.Any) -> t.Any:
        workspace, key, request = str(body["workspace"]), str(body["key"]), str(body["request"])
        attempt = str(body.get("attempt", ""))
        owned = self._find_owned_shard(workspace, key)
        if owned is None:
            return Reply(ClaimAnswer.BUSY)
        now, wall = self._clock(), int(time.time())
        reply, claim = owned.book.request_claim(workspace, key, request, now, wall, attempt)
        if claim is not None:
            done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
            owned.pending.append(_PendingWrite(claim, done))
            owned.wake.set()
            if await done:
                owned.book.mark_durable(claim)
                self._invariants.check(
                    claim.id not in owned.granted,
                    Invariant.SECOND_RUN_OF_CLAIM,
                    shard=owned.lease.shard,
                )
                owned.granted.add(claim.id)
            else:
                # The request was not sent, so the key may be claimed again.
                owned.book.discard_unwritten(claim)
                reply = Reply(ClaimAnswer.BUSY)
        return reply

    async def _on_outcome(self, sender: str, body: t.Any) -> t.Any:
        workspace, key = str(body["workspace"]), str(body["key"])
        raw = body["outcome"]
        outcome = codec.validate(Outcome, raw) if raw is not None else None
        owned = self._find_owned_shard(workspace, key)
        if owned is None:
            return False
        ran = str(body["ran"])
        claim = owned.book.record_outcome(
            workspace, key, outcome, ran, str(body.get("attempt", ""))
        )
        if claim is not None and ran == "no":
            owned.granted.discard((workspace, key))
        if claim is not None:
            owned.pending.append(_PendingWrite(claim, None))
            owned.wake.set()
        return claim is not None

    @mode.Service.task
    async def _clean_task(self) -> None:
        await background.repeat(
            "clean", self._delete_expired_hours, CLEAN_INTERVAL_SECONDS, lambda: self.should_stop
        )

    async def _delete_expired_hours(self) -> None:
        """Delete the hours that hold only expired claims."""
        oldest = (int(time.time()) - self._keep) // SECONDS_PER_HOUR - 1
        for owned in list(self._owned_shards.values()):
            owned.book.expire(int(time.time()))
            owned.granted &= owned.book.ids
            for hour in sorted(hour for hour in owned.hours if hour < oldest):
                prefix = f"{self._keys.claims(owned.lease.shard)}{hour:08d}/"
                condition = KeyNotRecreated(
                    self._keys.holder(owned.lease.shard), owned.lease.create_revision
                )
                await self._store.transact([condition], [Erase(prefix, True)], Purpose.READ)
                owned.hours.discard(hour)


def claim_name(workspace: str, key: str) -> str:
    """Return the name that determines a claim's shard."""
    return f"claim/{workspace}/{key}"


class ClaimClient:
    """Requests claims from their owners and reports how the requests ended."""

    def __init__(self, shards: ShardMap, peers: Peers) -> None:
        self._shards = shards
        self._peers = peers

    async def ask(self, workspace: str, key: str, request: str, attempt: str) -> Reply:
        """Request the claim of a key.

        :param request: digest of the request.
        :param attempt: unique id of this claim; :meth:`report` names it again.
        :raises RequestError: if the owner is unreachable or can't write; the request was not run.
        """
        body = {"workspace": workspace, "key": key, "request": request, "attempt": attempt}
        try:
            answer = await self._ask("claim", workspace, key, body)
            reply = codec.validate(Reply, answer)
        except (PeerError, DecodeError) as error:
            # A granted claim may have been lost in transit; it is returned, since nothing was sent.
            await self.report(workspace, key, attempt, "no", None)
            raise _claims_unavailable_error(str(error)) from error
        if reply.answer is ClaimAnswer.BUSY:
            raise _claims_unavailable_error("the owner of the key can't make it durable now")
        return reply

    async def report(
        self, workspace: str, key: str, attempt: str, ran: str, outcome: Outcome | None
    ) -> None:
        """Report to the owner how a request ended.

        :param ran: ``yes``, ``no`` or ``unknown``.
        """
        body = {
            "workspace": workspace,
            "key": key,
            "attempt": attempt,
            "ran": ran,
            "outcome": outcome,
        }
        try:
            await self._ask("outcome", workspace, key, body)
        except PeerError:
            # The owner treats an unreported claim as unknown and never grants it again.
            return

    async def _ask(self, kind: str, workspace: str, key: str, body: t.Any) -> t.Any:
        shard = self._shards.shard_of(claim_name(workspace, key))
        owner = self._shards.holder_of(shard)
        if owner is None:
            raise PeerError(f"shard {shard!r} has no holder")
        return await self._peers.ask(owner, kind, body, ASK_TIMEOUT_SECONDS)


def _claims_unavailable_error(reason: str) -> RequestError:
    return RequestError(
        503,
        "Claims unavailable",
        reason,
        retry_after=retry_after.CLAIMS_UNAVAILABLE,
        cause="claims_unavailable",
    )


def stored_outcome(status: int, content_type: str, body: bytes) -> Outcome:
    """Return the outcome to store; a large body is omitted."""
    return Outcome(status, content_type, body if len(body) <= MAX_OUTCOME_BYTES else None)
