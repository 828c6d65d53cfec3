"""Noticing that a group has fallen silent, from the streams that this daemon has in it.

A group makes its events for all of its streams in step, so silence on all of them at once
is evidence long before any one stream's pause would be.
"""

import asyncio
import collections
import dataclasses
import math
import typing as t

import mode

from thorncleat_core.roster import Endpoint

from . import events
from .peers import LoadReport
from .peers import Message
from .peers import Peers
from .peers import Suspicion
from .settings import StreamSettings

LOOK_SECONDS = 0.02
# part of the longest pause that suffices where another daemon suspects the group too
SUSPECTED_PART = 0.6
# a pause that is assumed for a model of which nothing is known
FIRST_PAUSE_SECONDS = 0.2


class Pauses:
    """The longest pause between events of a model lately, which prompts read between make."""

    def __init__(self, remember: float) -> None:
        self._remember = remember
        self._longest: dict[str, tuple[float, float]] = {}

    def longest(self, model: str, now: float) -> float:
        """Return the longest pause, which fades."""
        pause, at = self._longest.get(model, (FIRST_PAUSE_SECONDS, now))
        return pause * math.exp((at - now) / self._remember)

    def note(self, model: str, pause: float, now: float) -> None:
        """Take in a pause after which events came again."""
        if pause >= self.longest(model, now):
            self._longest[model] = (pause, now)
        elif model not in self._longest:
            self._longest[model] = (FIRST_PAUSE_SECONDS, now)


@dataclasses.dataclass(eq=False)
class Run:
    """One request at one group's leader.

    :param movable: whether it could go on elsewhere now.
    :param leave: makes it leave the group.
    """

    leader: Endpoint
    started_at: float
    movable: t.Callable[[], bool]
    leave: t.Callable[[], None]
    last_at: float = 0.0
    left: bool = False

    @property
    def writing(self) -> bool:
        """Whether events have come."""
        return self.last_at > 0

    @property
    def model(self) -> str:
        """The model that the group serves, as listed."""
        return self.leader.models[0] if self.leader.models else ""


class Pulse(mode.Service):
    """Watches the runs of all groups, and says which groups are suspected."""

    def __init__(
        self, settings: StreamSettings, peers: Peers, clock: t.Callable[[], float]
    ) -> None:
        super().__init__()
        self._settings = settings
        self._peers = peers
        self._clock = clock
        self._runs: dict[str, set[Run]] = collections.defaultdict(set)
        self._heard: dict[str, float] = {}
        self._others: dict[str, float] = {}
        self._suspected: dict[str, float] = {}
        self._told: dict[str, float] = {}
        self._listeners: list[t.Callable[[Suspicion], None]] = []
        self._looked_at = clock()
        self._pauses = Pauses(settings.remember)
        peers.on_message(self._message)

    def on_suspicion(self, listener: t.Callable[[Suspicion], None]) -> None:
        """Call a function for each suspicion, own or heard."""
        self._listeners.append(listener)

    def begin(self, run: Run) -> None:
        """Watch a run."""
        self._runs[run.leader.id].add(run)

    def end(self, run: Run) -> None:
        """Watch a run no longer."""
        runs = self._runs.get(run.leader.id)
        if runs:
            runs.discard(run)
            if not runs:
                del self._runs[run.leader.id]

    def event(self, run: Run, now: float) -> None:
        """Take in that an event of a run came."""
        heard = self._heard.get(run.leader.id, 0.0)
        if run.writing:
            self._pauses.note(run.model, now - max(run.last_at, heard), now)
        run.last_at = now
        self.heard(run.leader.id, now)

    def heard(self, endpoint_id: str, now: float) -> None:
        """Take in that an endpoint answered something."""
        self._heard[endpoint_id] = now
        self._suspected.pop(endpoint_id, None)

    def heard_lately(self, seconds: float = 1.0) -> list[str]:
        """Return the endpoints that answered within some seconds."""
        begin = self._clock() - seconds
        return [key for key, at in self._heard.items() if at >= begin]

    def heard_since(self, endpoint_id: str, moment: float) -> bool:
        """Tell whether any daemon heard an endpoint after a moment."""
        never = float("-inf")
        own, others = self._heard.get(endpoint_id, never), self._others.get(endpoint_id, never)
        return max(own, others) >= moment

    def suspected(self, endpoint_id: str) -> bool:
        """Tell whether a leader's group is suspected."""
        until = self._suspected.get(endpoint_id)
        return until is not None and self._clock() < until

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
            heard_ago=round(now - self._heard.get(leader.id, 0.0), 3),
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
            if now - self._heard.get(message.leader, 0.0) > self._settings.suspected:
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
        silent = self._limit(next(iter(runs)).model, now, self.suspected(leader_id))
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

    def _limit(self, model: str, now: float, suspected: bool) -> float:
        settings = self._settings
        longest = self._pauses.longest(model, now)
        if suspected:
            return max(settings.suspected, SUSPECTED_PART * longest)
        limit = settings.pauses * longest
        return min(max(limit, settings.least_silence), settings.most_silence)
