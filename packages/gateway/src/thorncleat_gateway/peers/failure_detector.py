"""Detects silent groups from this daemon's streams and from the suspicions of other daemons.

Owns: the running attempts of this daemon's streams, and the time of the last contact with each
endpoint.
Relies on: :mod:`.silence` and :mod:`.shared_silence` for the rules, :mod:`.suspicions` for the
duration of a suspicion, and :mod:`.datagrams` for messages of other daemons.
"""

import asyncio
import collections
import dataclasses
import typing as t

from .. import events
from ..callbacks import Callbacks
from ..service import Service
from ..service import background_task
from ..settings import StreamSettings
from ..store.roster import Endpoint
from . import silence
from .datagrams import PeerChannel
from .messages import GroupKept
from .messages import LoadReport
from .messages import Message
from .messages import Suspicion
from .own_lateness import MAX_LATENESS_SECONDS
from .own_lateness import OwnLateness
from .reach import Reach
from .shared_silence import GroupActivity
from .shared_silence import SharedSilence
from .suspicions import Suspicions

POLL_INTERVAL_SECONDS = 0.02
# Weight of the latest gap in the moving average of a stream's gaps.
LATEST_GAP_WEIGHT = 0.3
# How long the last contact with an endpoint is remembered.
CONTACT_TTL_SECONDS = 60.0
# How long another daemon's report of answers shows that it reaches endpoints.
OTHERS_REACH_SECONDS = 1.0
# Shortest time for which the event loop stood still that counts as a pause of this daemon.
MIN_OWN_PAUSE_SECONDS = 0.25
# How long messages and failures that waited during the pause may be met after it.
AFTER_OWN_PAUSE_SECONDS = 0.1
# Minimum time between two broadcasts of the same suspicion.
MIN_RESEND_SECONDS = 0.2


@dataclasses.dataclass(eq=False)
class StreamAttempt:
    """One attempt to stream a request from a group's leader or a plain endpoint.

    Times are seconds on the gateway's clock.

    :param reserve_retry: reserves a retry on another group; returns whether there is one now.
    :param abort: ends the attempt, so that the stream leaves the group.
    :param allowance: what its route allows a plain endpoint; None in a group, whose streams are
        watched together.
    :param started_at: when the request was sent, or the end of a later pause of this daemon.
    :param last_at: time of the last event, or the end of a later pause of this daemon; 0 before the
        first event.
    :param gap: moving average of the seconds between two events.
    :param abort_cause: logged cause of the abort; empty if the attempt wasn't aborted.
    :param is_blocked_by_caller: whether the caller has yet to read events; no further events are
        read from the leader meanwhile.
    """

    leader: Endpoint
    started_at: float
    reserve_retry: t.Callable[[], bool]
    abort: t.Callable[[], None]
    allowance: silence.Allowance | None = None
    last_at: float = 0.0
    gap: float = 0.0
    abort_cause: str = ""
    is_blocked_by_caller: bool = False

    def record_event(self, now: float) -> None:
        """Update the time of the last event and the average gap."""
        if self.last_at:
            self.gap += LATEST_GAP_WEIGHT * (now - self.last_at - self.gap)
        self.last_at = now

    def excuse_silence(self, now: float) -> None:
        """Let a silence count from now on, since this daemon couldn't read events before."""
        self.started_at = now
        if self.last_at:
            self.last_at = now


class FailureDetector(Service):
    """Watches this daemon's streams in all groups and determines which groups are suspected.

    :param is_full: returns whether the slots of a leader's group are all taken.
    :param reach: whether this daemon is cut off from the endpoints; None to create it.
    :ivar lateness: how late the event loop of this daemon runs the checks of the streams.
    """

    def __init__(
        self,
        settings: StreamSettings,
        peers: PeerChannel,
        clock: t.Callable[[], float],
        is_full: t.Callable[[Endpoint], bool] = lambda _: False,
        reach: Reach | None = None,
    ) -> None:
        super().__init__()
        self._is_full = is_full
        self._settings = settings
        self._peers = peers
        self._clock = clock
        self._attempts: dict[str, set[StreamAttempt]] = collections.defaultdict(set)
        self._contacts: dict[str, float] = {}
        self._remote_contacts: dict[str, float] = {}
        self._suspicions = Suspicions(settings.suspicion, clock)
        self._shared_silence = SharedSilence()
        self._reported_at: dict[str, float] = {}
        self._others_reached_at = float("-inf")
        self._listeners = Callbacks[[Suspicion]]("suspicion")
        self.lateness = OwnLateness(clock, POLL_INTERVAL_SECONDS)
        self.reach = reach or Reach(clock)
        self.reach.on_loss(self._forget_own_suspicions)
        peers.on_message(self._on_message)

    def on_suspicion(self, listener: t.Callable[[Suspicion], None]) -> None:
        """Call a function for each suspicion, whether local or reported by another daemon."""
        self._listeners.add(listener)

    def watch(self, attempt: StreamAttempt) -> None:
        """Start watching an attempt."""
        self._attempts[attempt.leader.id].add(attempt)

    def unwatch(self, attempt: StreamAttempt) -> None:
        """Stop watching an attempt."""
        attempts = self._attempts.get(attempt.leader.id)
        if attempts:
            attempts.discard(attempt)
            if not attempts:
                del self._attempts[attempt.leader.id]

    def record_contact(self, endpoint_id: str, now: float) -> None:
        """Record that an endpoint answered, which ends any suspicion of it."""
        self._contacts[endpoint_id] = now
        self._suspicions.remove(endpoint_id)
        self._reported_at.pop(endpoint_id, None)

    def record_remote_contacts(self, endpoint_ids: t.Iterable[str], max_age: float) -> None:
        """Record that endpoints answered another daemon.

        An adopted suspicion that is older than the contact ends. This daemon's own one stays, since
        its path to the endpoint may be the one that is cut.

        :param max_age: seconds since the earliest of these contacts.
        """
        if self.has_just_paused():
            # The report may have waited in the socket.
            return
        since = self._clock() - max_age
        for endpoint_id in endpoint_ids:
            self._suspicions.remove_adopted_before(endpoint_id, since)

    def contacted_within(self, seconds: float) -> list[str]:
        """Return the ids of the endpoints that answered this daemon recently.

        :param seconds: maximum age of an answer.
        """
        now = self._clock()
        self._contacts = {
            key: at for key, at in self._contacts.items() if now - at < CONTACT_TTL_SECONDS
        }
        return [key for key, at in self._contacts.items() if now - at <= seconds]

    def has_contact_since(self, endpoint_id: str, since: float) -> bool:
        """Return whether an endpoint answered any daemon at or after an instant."""
        return self.last_contact_at(endpoint_id) >= since

    def last_contact_at(self, endpoint_id: str) -> float:
        """Return when an endpoint last answered any daemon, as far as is known; -inf if never."""
        never = float("-inf")
        return max(
            self._contacts.get(endpoint_id, never), self._remote_contacts.get(endpoint_id, never)
        )

    def was_heard_here_since(self, endpoint_id: str, since: float) -> bool:
        """Return whether an endpoint answered this daemon itself at or after an instant."""
        return self._contacts.get(endpoint_id, float("-inf")) >= since

    def others_reach_endpoints(self) -> bool:
        """Return whether another daemon has lately reported answers of endpoints."""
        return self._clock() - self._others_reached_at <= OTHERS_REACH_SECONDS

    def is_suspected(self, leader: Endpoint) -> bool:
        """Return whether this daemon or another one suspects a leader's group."""
        return self._suspicions.is_suspected(leader)

    def is_on_probation(self, leader: Endpoint) -> bool:
        """Return whether a suspicion of a leader's group has expired without a contact since."""
        return self._suspicions.is_on_probation(leader)

    def is_suspected_locally(self, leader: Endpoint) -> bool:
        """Return whether this daemon itself suspects a leader's group."""
        return self._suspicions.is_suspected_locally(leader)

    def suspect(self, leader: Endpoint, cause: str) -> None:
        """Suspect a leader's group and broadcast the suspicion.

        After a pause of this daemon, its time-outs prove nothing about the group.

        :param cause: the logged cause.
        """
        if self.has_just_paused():
            return
        now = self._clock()
        group = leader.membership.group if leader.membership else None
        self._suspicions.add(leader.id, group, is_local=True, service=leader.service)
        recently_reported = now - self._reported_at.get(leader.id, 0.0) < MIN_RESEND_SECONDS
        if group is None or recently_reported:
            return
        self._reported_at[leader.id] = now
        suspicion = Suspicion(leader.id, group)
        events.GROUP_SUSPECTED.log(
            leader=leader.id,
            group=suspicion.group.name,
            cause=cause,
            fault=suspicion.fault,
            heard_ago=round(now - self._contacts[leader.id], 3)
            if leader.id in self._contacts
            else None,
        )
        self._peers.broadcast(suspicion)
        self._notify(suspicion)

    def _forget_own_suspicions(self, service: str) -> None:
        """Forget what this daemon suspected when it was most likely cut off already."""
        self._suspicions.forget_own_since(service, self.reach.succeeded_at(service))

    def has_just_paused(self) -> bool:
        """Return whether this daemon paused, and may still meet what waited meanwhile."""
        since = self._clock() - AFTER_OWN_PAUSE_SECONDS
        return self.lateness.max_lateness_since(since) >= MIN_OWN_PAUSE_SECONDS

    def _notify(self, suspicion: Suspicion) -> None:
        self._listeners.call(suspicion)

    def _on_message(self, sender: str, message: Message) -> None:
        now = self._clock()
        if isinstance(message, LoadReport):
            self._remote_contacts.update(dict.fromkeys(message.heard, now))
            if message.heard:
                self._others_reached_at = now
        elif isinstance(message, GroupKept):
            self._suspicions.remove(message.leader)
        elif isinstance(message, Suspicion):
            last_contact_at = self._contacts.get(message.leader, 0.0)
            is_credible = silence.is_credible(now, last_contact_at, self._settings)
            if is_credible and not self.has_just_paused():
                # A suspicion that waited in the socket may have been disproved since. If it still
                # holds, it is sent again.
                self._suspicions.add(message.leader, message.group, is_local=False)
            self._notify(message)

    @background_task
    async def _poll_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            late_seconds = self.lateness.record_tick()
            now = self._clock()
            if late_seconds >= MIN_OWN_PAUSE_SECONDS:
                self._excuse_silences(now)
            if late_seconds <= MAX_LATENESS_SECONDS:
                # After a pause of this daemon, answers may be waiting unread in the sockets.
                with self._failures.contain("shared silence"):
                    self._shared_silence.update(now, self._activities())
                for leader_id in list(self._attempts):
                    # Streams elsewhere are still watched if a check fails.
                    with self._failures.contain("silence check"):
                        self._check_leader(leader_id, now)

    def _excuse_silences(self, now: float) -> None:
        """Let the silences of all groups count from the end of this daemon's pause on."""
        for attempts in self._attempts.values():
            for attempt in attempts:
                attempt.excuse_silence(now)

    def _activities(self) -> t.Iterator[GroupActivity]:
        """Yield the times of the groups in which this daemon has streams that have had events."""
        for leader_id in self._attempts:
            started = [
                attempt
                for attempt in self._running(leader_id)
                if attempt.last_at and attempt.allowance is None
            ]
            if started:
                event_at = max(attempt.last_at for attempt in started)
                latest_at = max(event_at, self._contacts.get(leader_id, event_at))
                gap = max(attempt.gap for attempt in started)
                yield GroupActivity(leader_id, latest_at, gap)

    def _running(self, leader_id: str) -> list[StreamAttempt]:
        """Return the attempts at a group whose callers have read all events."""
        return [
            attempt for attempt in self._attempts[leader_id] if not attempt.is_blocked_by_caller
        ]

    def _check_leader(self, leader_id: str, now: float) -> None:
        """Abort the attempts at an endpoint that is silent to them."""
        attempts = self._running(leader_id)
        if not attempts:
            return
        alone = [attempt for attempt in attempts if self._is_silent_alone(attempt, now)]
        self._abort(alone, silence.ENDPOINT_SILENT_CAUSE)
        in_group = [attempt for attempt in attempts if attempt.allowance is None]
        if in_group:
            self._check_group(in_group, now)

    def _is_silent_alone(self, attempt: StreamAttempt, now: float) -> bool:
        """Return whether a plain endpoint is silent to an attempt; False for one in a group."""
        allowance = attempt.allowance
        return allowance is not None and silence.is_silent_alone(
            now, attempt, allowance, self._settings
        )

    def _check_group(self, attempts: list[StreamAttempt], now: float) -> None:
        """Suspect a silent group and abort its overdue attempts, or abort stalled attempts."""
        leader = attempts[0].leader
        liveness = silence.classify_group(
            now,
            self._contacts.get(leader.id, 0.0),
            attempts,
            self._settings,
            is_suspected=self.is_suspected(leader),
            remote_contact_at=self._remote_contacts.get(leader.id, float("-inf")),
            is_full=self._is_full(leader),
        )
        if not liveness.is_silent:
            latest_event_at = max(attempt.last_at for attempt in attempts)
            stalled = [
                attempt for attempt in attempts if silence.is_stalled(attempt, latest_event_at)
            ]
            self._abort(stalled, silence.STREAM_SILENT_CAUSE)
            return
        if not self.reach.is_doubtful(leader.service):
            # Otherwise this daemon may be the one that is cut off; its streams leave all the same.
            self.suspect(leader, silence.SUSPICION_CAUSE)
            heard_at = max(self._contacts.get(leader.id, 0.0), silence.latest_sign_at(attempts))
            if self._shared_silence.is_staying_better(now, now - heard_at):
                return
        overdue = [
            attempt for attempt in attempts if silence.is_overdue(now, attempt, self._settings)
        ]
        self._abort(overdue, silence.GROUP_SILENT_CAUSE)

    def _abort(self, attempts: t.Iterable[StreamAttempt], cause: str) -> None:
        """Abort the running attempts whose streams can resume on another group."""
        for attempt in attempts:
            with self._failures.contain("abort of an attempt"):
                if not attempt.abort_cause and attempt.reserve_retry():
                    attempt.abort_cause = cause
                    attempt.abort()
