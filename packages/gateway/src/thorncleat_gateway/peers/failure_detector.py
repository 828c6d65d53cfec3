"""Who is suspected: the streams that are watched, and what daemons tell each other of them.

Owns: the running attempts of this daemon's streams, and when each endpoint was heard.
Relies on: :mod:`.silence` for the rule, :mod:`.suspicions` for how long each lasts, and
:mod:`.datagrams` for what other daemons say.
"""

import asyncio
import collections
import dataclasses
import typing as t

import mode

from .. import events
from ..settings import StreamSettings
from ..store.roster import Endpoint
from . import silence
from .datagrams import LoadReport
from .datagrams import Message
from .datagrams import PeerChannel
from .datagrams import Suspicion
from .own_lateness import MAX_LATENESS_SECONDS
from .own_lateness import OwnLateness
from .suspicions import Suspicions

# between two looks at the streams
LOOK_SECONDS = 0.02
# weight of the newest gap in the mean
GAP_WEIGHT = 0.3
# for which it is remembered when an endpoint was heard
REMEMBER_HEARD_SECONDS = 60.0
# for which a suspicion is not told again
TELL_AGAIN_SECONDS = 0.2


@dataclasses.dataclass(eq=False)
class StreamAttempt:
    """One request at one group's leader; times are seconds on the gateway's clock.

    :param movable: returns whether it could go on elsewhere now.
    :param leave: makes it leave the group.
    :param last_at: when the last event came; 0 if none has come.
    :param gap: the usual seconds between two events.
    :param leave_cause: why it was made to leave, as logged; empty if it wasn't.
    :param held_by_caller: whether its caller has yet to take events; no more are read meanwhile.
    """

    leader: Endpoint
    started_at: float
    can_migrate: t.Callable[[], bool]
    abort: t.Callable[[], None]
    last_at: float = 0.0
    gap: float = 0.0
    abort_cause: str = ""
    is_blocked_by_caller: bool = False

    def record_event(self, now: float) -> None:
        """Note that an event came."""
        if self.last_at:
            self.gap += GAP_WEIGHT * (now - self.last_at - self.gap)
        self.last_at = now


class FailureDetector(mode.Service):
    """Watches this daemon's streams in all groups, and says which groups are suspected.

    :param lateness: of this daemon's event loop, as its looks at the streams show it.
    """

    def __init__(
        self, settings: StreamSettings, peers: PeerChannel, clock: t.Callable[[], float]
    ) -> None:
        super().__init__()
        self._settings = settings
        self._peers = peers
        self._clock = clock
        self._attempts: dict[str, set[StreamAttempt]] = collections.defaultdict(set)
        self._heard: dict[str, float] = {}
        self._others: dict[str, float] = {}
        self._suspicions = Suspicions(settings.suspicion, clock)
        self._told: dict[str, float] = {}
        self._listeners: list[t.Callable[[Suspicion], None]] = []
        self.lateness = OwnLateness(clock, LOOK_SECONDS)
        peers.on_message(self._message)

    def on_suspicion(self, listener: t.Callable[[Suspicion], None]) -> None:
        """Call a function for each suspicion, own or heard."""
        self._listeners.append(listener)

    def watch(self, attempt: StreamAttempt) -> None:
        """Watch an attempt."""
        self._attempts[attempt.leader.id].add(attempt)

    def unwatch(self, attempt: StreamAttempt) -> None:
        """Watch an attempt no longer."""
        attempts = self._attempts.get(attempt.leader.id)
        if attempts:
            attempts.discard(attempt)
            if not attempts:
                del self._attempts[attempt.leader.id]

    def record_contact(self, endpoint_id: str, now: float) -> None:
        """Note that an endpoint answered something; that ends any suspicion of it."""
        self._heard[endpoint_id] = now
        self._suspicions.end(endpoint_id)
        self._told.pop(endpoint_id, None)

    def contacted_within(self, seconds: float) -> list[str]:
        """Return the endpoints that answered within some seconds."""
        now = self._clock()
        self._heard = {
            key: at for key, at in self._heard.items() if now - at < REMEMBER_HEARD_SECONDS
        }
        return [key for key, at in self._heard.items() if now - at <= seconds]

    def has_contact_since(self, endpoint_id: str, moment: float) -> bool:
        """Return whether any daemon heard an endpoint after a moment."""
        never = float("-inf")
        own, others = self._heard.get(endpoint_id, never), self._others.get(endpoint_id, never)
        return max(own, others) >= moment

    def is_suspected(self, leader: Endpoint) -> bool:
        """Return whether a leader's group is suspected, by this daemon or by another."""
        return self._suspicions.holds(leader)

    def is_on_probation(self, leader: Endpoint) -> bool:
        """Return whether a leader's group was suspected and has not been heard since."""
        return self._suspicions.is_on_probation(leader)

    def is_suspected_locally(self, leader: Endpoint) -> bool:
        """Return whether this daemon itself suspects a leader's group."""
        return self._suspicions.holds_here(leader)

    def suspect(self, leader: Endpoint, cause: str) -> None:
        """Suspect a leader's group, and tell the others.

        :param cause: as it stands in the log line.
        """
        now = self._clock()
        group = leader.membership.group if leader.membership else None
        self._suspicions.add(leader.id, group, own=True)
        told_lately = now - self._told.get(leader.id, 0.0) < TELL_AGAIN_SECONDS
        if group is None or told_lately:
            return
        self._told[leader.id] = now
        suspicion = Suspicion(leader.id, group)
        events.GROUP_SUSPECTED.log(
            leader=leader.id,
            group=suspicion.group.name,
            cause=cause,
            fault=suspicion.fault,
            heard_ago=round(now - self._heard[leader.id], 3) if leader.id in self._heard else None,
        )
        self._peers.broadcast(suspicion)
        self._notify(suspicion)

    def _notify(self, suspicion: Suspicion) -> None:
        for listener in self._listeners:
            listener(suspicion)

    def _message(self, sender: str, message: Message) -> None:
        now = self._clock()
        if isinstance(message, LoadReport):
            self._others.update(dict.fromkeys(message.heard, now))
        elif isinstance(message, Suspicion):
            heard_at = self._heard.get(message.leader, 0.0)
            if silence.is_believed(now, heard_at, self._settings):
                self._suspicions.add(message.leader, message.group, own=False)
            self._notify(message)

    @mode.Service.task
    async def _look_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(LOOK_SECONDS)
            late = self.lateness.record_tick()
            now = self._clock()
            if late <= MAX_LATENESS_SECONDS:
                # after a pause of this daemon the answers may lie unread
                for leader_id in list(self._attempts):
                    self._look(leader_id, now)

    def _look(self, leader_id: str, now: float) -> None:
        attempts = [
            attempt for attempt in self._attempts[leader_id] if not attempt.is_blocked_by_caller
        ]
        if not attempts:
            return
        leader = attempts[0].leader
        verdict = silence.judge(
            now,
            self._heard.get(leader_id, 0.0),
            attempts,
            self._settings,
            suspected=self.is_suspected(leader),
            elsewhere_at=self._others.get(leader_id, float("-inf")),
        )
        if not verdict.silent:
            newest_at = max(attempt.last_at for attempt in attempts)
            cut_off = [attempt for attempt in attempts if silence.is_cut_off(attempt, newest_at)]
            _leave(cut_off, silence.STREAM_SILENT)
            return
        self.suspect(leader, silence.CAUSE)
        waited = [
            attempt for attempt in attempts if silence.has_waited(now, attempt, self._settings)
        ]
        _leave(waited, silence.GROUP_SILENT)


def _leave(attempts: t.Iterable[StreamAttempt], cause: str) -> None:
    """Make the attempts leave their group that could go on in another one."""
    for attempt in attempts:
        if not attempt.abort_cause and attempt.can_migrate():
            attempt.abort_cause = cause
            attempt.abort()
