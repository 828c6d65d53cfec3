"""Noticing that a group has fallen silent, from the streams that this daemon has in it.

A group makes its events for all of its streams in step, so silence on all of them at once
is evidence long before any one stream's pause would be.
"""

import asyncio
import collections
import dataclasses
import typing as t

import mode

from .. import events
from ..settings import StreamSettings
from ..store.roster import Endpoint
from .datagrams import LoadReport
from .datagrams import Message
from .datagrams import PeerChannel
from .datagrams import Suspicion

LOOK_SECONDS = 0.02
# weight of the newest gap in the mean
GAP_WEIGHT = 0.3
# for which it is remembered when an endpoint was heard
REMEMBER_SECONDS = 60.0


@dataclasses.dataclass(eq=False)
class StreamAttempt:
    """One request at one group's leader.

    :param movable: whether it could go on elsewhere now.
    :param leave: makes it leave the group.
    """

    leader: Endpoint
    started_at: float
    movable: t.Callable[[], bool]
    leave: t.Callable[[], None]
    last_at: float = 0.0
    gap: float = 0.0
    left: bool = False

    @property
    def writing(self) -> bool:
        """Whether events have come."""
        return self.last_at > 0

    def event(self, now: float) -> None:
        """Take in that an event came."""
        if self.last_at:
            self.gap += GAP_WEIGHT * (now - self.last_at - self.gap)
        self.last_at = now


class FailureDetector(mode.Service):
    """Watches the runs of all groups, and says which groups are suspected."""

    def __init__(
        self, settings: StreamSettings, peers: PeerChannel, clock: t.Callable[[], float]
    ) -> None:
        super().__init__()
        self._settings = settings
        self._peers = peers
        self._clock = clock
        self._runs: dict[str, set[StreamAttempt]] = collections.defaultdict(set)
        self._heard: dict[str, float] = {}
        self._others: dict[str, float] = {}
        self._suspected: dict[str, float] = {}
        self._told: dict[str, float] = {}
        self._listeners: list[t.Callable[[Suspicion], None]] = []
        self._looked_at = clock()
        peers.on_message(self._message)

    def on_suspicion(self, listener: t.Callable[[Suspicion], None]) -> None:
        """Call a function for each suspicion, own or heard."""
        self._listeners.append(listener)

    def begin(self, run: StreamAttempt) -> None:
        """Watch a run."""
        self._runs[run.leader.id].add(run)

    def end(self, run: StreamAttempt) -> None:
        """Watch a run no longer."""
        runs = self._runs.get(run.leader.id)
        if runs:
            runs.discard(run)
            if not runs:
                del self._runs[run.leader.id]

    def heard(self, endpoint_id: str, now: float) -> None:
        """Take in that an endpoint answered something."""
        self._heard[endpoint_id] = now
        self._suspected.pop(endpoint_id, None)
        self._told.pop(endpoint_id, None)

    def heard_lately(self, seconds: float) -> list[str]:
        """Return the endpoints that answered within some seconds."""
        now = self._clock()
        self._heard = {key: at for key, at in self._heard.items() if now - at < REMEMBER_SECONDS}
        return [key for key, at in self._heard.items() if now - at <= seconds]

    def heard_since(self, endpoint_id: str, moment: float) -> bool:
        """Tell whether any daemon heard an endpoint after a moment."""
        never = float("-inf")
        own, others = self._heard.get(endpoint_id, never), self._others.get(endpoint_id, never)
        return max(own, others) >= moment

    def suspected(self, endpoint_id: str) -> bool:
        """Tell whether a leader's group is suspected, by this daemon or by another."""
        until = self._suspected.get(endpoint_id)
        return until is not None and self._clock() < until

    def suspected_here(self, endpoint_id: str) -> bool:
        """Tell whether this daemon itself suspects a leader's group."""
        return self._told.get(endpoint_id, 0.0) + self._settings.suspicion > self._clock()

    def suspect(self, leader: Endpoint, cause: str, fault: str = "") -> None:
        """Suspect a leader's group, and tell the others."""
        now = self._clock()
        self._suspected[leader.id] = now + self._settings.suspicion
        if leader.membership is None or now - self._told.get(leader.id, 0.0) < 0.2:
            return
        self._told[leader.id] = now
        suspicion = Suspicion(leader.id, leader.membership.group, fault)
        events.GROUP_SUSPECTED.log(
            leader=leader.id,
            group=suspicion.group.name,
            cause=cause,
            fault=fault,
            heard_ago=round(now - self._heard[leader.id], 3) if leader.id in self._heard else None,
        )
        self._peers.tell_all(suspicion)
        self._notify(suspicion)

    def _notify(self, suspicion: Suspicion) -> None:
        for listener in self._listeners:
            listener(suspicion)

    def _message(self, sender: str, message: Message) -> None:
        now = self._clock()
        if isinstance(message, LoadReport):
            self._others.update(dict.fromkeys(message.heard, now))
        elif isinstance(message, Suspicion):
            # a daemon that is cut off suspects everybody; what is heard here counts more
            if now - self._heard.get(message.leader, 0.0) > self._settings.least_silence:
                self._suspected[message.leader] = now + self._settings.suspicion
            self._notify(message)

    @mode.Service.task
    async def _look_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(LOOK_SECONDS)
            now = self._clock()
            late = now - self._looked_at > 3 * LOOK_SECONDS
            self._looked_at = now
            if not late:
                # after a pause of this daemon the answers may lie unread
                for leader_id in list(self._runs):
                    self._look(leader_id, now)

    def _look(self, leader_id: str, now: float) -> None:
        runs = self._runs[leader_id]
        heard = self._heard.get(leader_id, 0.0)
        writing = [one for one in runs if one.writing]
        silent = self._limit(writing, self.suspected(leader_id))
        if writing:
            since = max(heard, max(one.last_at for one in writing))
            overdue = now - since > silent
        else:
            first = min(one.started_at for one in runs)
            overdue = now - max(heard, first) > self._settings.first_event
        if not overdue:
            return
        leader = next(iter(runs)).leader
        self.suspect(leader, "silence")
        for one in list(runs):
            waited = now - max(one.started_at, one.last_at)
            if not one.left and waited > self._settings.suspected and one.movable():
                one.left = True
                one.leave()

    def _limit(self, writing: t.Sequence[StreamAttempt], suspected: bool) -> float:
        settings = self._settings
        gap = max((one.gap for one in writing), default=0.0)
        limit = min(max(settings.gaps * gap, settings.least_silence), settings.most_silence)
        return max(settings.suspected, 1.5 * gap) if suspected else limit
