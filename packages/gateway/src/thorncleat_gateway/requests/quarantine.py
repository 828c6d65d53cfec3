"""Quarantines the requests that crash the endpoints that run them.

A crash is put down to a key: the fingerprint of a request, or that of a part of its prompt, which
requests may share of which no two are alike. A request that is served clears its keys, so a part
that many requests share is cleared within moments, while a fatal one never is.

Owns: the remembered crashes with the keys of each, and the quarantined keys.
Relies on: :mod:`.crash_watch` for the crashes that this daemon detects, and :mod:`.crash_reporter`
for those of the other daemons. All times are seconds on the gateway's clock.
"""

import dataclasses
import math
import typing as t

from ..store.roster import Incarnation
from . import request_log
from .fingerprint import Fingerprint
from .fingerprint import is_part

# Points of a crash against a request that ran on the endpoint.
RAN_POINTS = 2
# Points of a crash against a request that may only have been queued.
MAY_HAVE_WAITED_POINTS = 1
# Crashes at different times after which a request is quarantined.
QUARANTINE_CRASHES = 3
QUARANTINE_POINTS = QUARANTINE_CRASHES * RAN_POINTS
# The same for a part of a prompt, if its request had begun last, or else. A part is more often by
# chance at several crashes than a request is, and its quarantine holds more requests back.
PART_POINTS_IF_BRIEF = 4 * RAN_POINTS
PART_POINTS = 8 * RAN_POINTS
# Crashes within this time count as simultaneous, such as those of a power loss. Connections that
# break together do so within milliseconds; a retry takes a fifth of a second to crash the next
# endpoint.
SAME_INSTANT_SECONDS = 0.02
# How much longer than the request that had begun last a cause of a crash may have run.
BRIEF_RUN_SECONDS = 0.15
# Crashes after which a request is denied the last endpoint that could serve it.
LAST_ENDPOINT_DENIAL_CRASHES = 2
# How long a request is denied the last endpoint after its latest crash; crashed endpoints restart
# within 2 to 3 s.
LAST_ENDPOINT_DENIAL_SECONDS = 5.0
# How long after the newest crash of a quarantined part one request with it is let through, by the
# first daemon and, if it showed nothing, by the second one. A sound part that was quarantined while
# no endpoint was left to serve it is cleared by that; each fatal one crashes two endpoints more.
PROBE_DELAY_SECONDS = 1.5
MAX_PROBERS = 2
# How long a request stays quarantined after its latest crash. It gets another chance then, since
# the endpoints may run other software.
QUARANTINE_SECONDS = 600.0
# How long a crash is remembered; longer than a quarantine.
CRASH_TTL_SECONDS = 3600.0
# With 26 keys each they take 2.0 MB.
MAX_CRASHES = 256
# The requests of a full group and of its queue, with the parts of their prompts.
MAX_REQUESTS_PER_CRASH = 128


class Involvement(t.NamedTuple):
    """A request's part in a crash.

    :param points: :data:`RAN_POINTS` or :data:`MAY_HAVE_WAITED_POINTS`.
    :param run_seconds: seconds from the head of the answer to the crash; 0 without a head.
    """

    points: int
    run_seconds: float


@dataclasses.dataclass(eq=False)
class Crash:
    """The crash of an endpoint, with the requests that it broke.

    :param at: when the first connection broke.
    :param shortest_run: seconds that the request ran which had begun last; infinite if none had.
    """

    incarnation: Incarnation
    at: float
    requests: dict[Fingerprint, Involvement] = dataclasses.field(default_factory=dict)
    shortest_run: float = math.inf

    def add(self, fingerprint: Fingerprint, involvement: Involvement) -> None:
        """Add a request or a part that was under way."""
        self.requests[fingerprint] = involvement
        if involvement.run_seconds:
            self.shortest_run = min(self.shortest_run, involvement.run_seconds)


class CrashScore(t.NamedTuple):
    """The score of crashes against a request; the request with the largest is the likeliest cause.

    :param brief_points: sum over the crashes before which the key ran no longer than the others.
        A part that many requests share stands beside the crashes of several causes, and would
        explain more of them than each cause does.
    :param points: sum over the crashes, simultaneous ones counted once.
    :param negative_run_seconds: minus the seconds that the request ran before the crashes; the
        cause of a crash has usually run only briefly.
    :param newest_at: when the latest of the crashes happened.
    """

    brief_points: int
    points: int
    negative_run_seconds: float
    newest_at: float


def crash_score(fingerprint: Fingerprint, crashes: t.Iterable[Crash]) -> CrashScore:
    """Return the score of crashes against a request that was under way at each of them."""
    points, brief_points, run_seconds = 0, 0, 0.0
    instant_at, instant_points, instant_brief = float("-inf"), 0, 0
    newest_at = float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.at):
        involvement = crash.requests[fingerprint]
        if crash.at - instant_at > SAME_INSTANT_SECONDS:
            points += instant_points
            brief_points += instant_brief
            instant_at, instant_points, instant_brief = crash.at, 0, 0
        instant_points = max(instant_points, involvement.points)
        if involvement.run_seconds <= crash.shortest_run + BRIEF_RUN_SECONDS:
            instant_brief = max(instant_brief, involvement.points)
        run_seconds += involvement.run_seconds
        newest_at = crash.at
    return CrashScore(
        brief_points + instant_brief, points + instant_points, -run_seconds, newest_at
    )


def is_cause(fingerprint: Fingerprint, score: CrashScore) -> bool:
    """Return whether a key with a score is quarantined."""
    if is_part(fingerprint):
        return score.brief_points >= PART_POINTS_IF_BRIEF or score.points >= PART_POINTS
    return score.points >= QUARANTINE_POINTS


class Quarantine:
    """Remembers crashes and quarantines the requests that explain them.

    :param clock: monotonic, in seconds.
    """

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._crashes: dict[str, list[Crash]] = {}
        self._crashes_by_request: dict[Fingerprint, list[Crash]] = {}
        # Requests with enough crashes for a quarantine.
        self._candidates: set[Fingerprint] = set()
        self._quarantined_until: dict[Fingerprint, float] = {}
        # By quarantined part, the parts that the crashes don't tell from it.
        self._companions: dict[Fingerprint, frozenset[Fingerprint]] = {}
        # Reports of crashes before these times are ignored.
        self._alive_at: dict[Incarnation, float] = {}
        self._served_at: dict[Fingerprint, float] = {}
        # When this daemon let a request with a quarantined part through.
        self._probed_at: dict[Fingerprint, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no crash is remembered."""
        return not self._crashes

    @property
    def has_quarantined(self) -> bool:
        """Whether any request is quarantined, or was when the crashes were last evaluated."""
        return bool(self._quarantined_until)

    @property
    def quarantined(self) -> t.Collection[Fingerprint]:
        """The requests that are quarantined now."""
        now = self._clock()
        return [
            fingerprint for fingerprint, until in self._quarantined_until.items() if until > now
        ]

    def quarantine_seconds_left(self, keys: t.Collection[Fingerprint]) -> float:
        """Return the seconds until a request is released; 0 if it isn't quarantined.

        :param keys: of the request.
        """
        until = max((self._held_until(key, keys) for key in keys), default=0.0)
        return max(0.0, until - self._clock())

    def _held_until(self, key: Fingerprint, keys: t.Collection[Fingerprint]) -> float:
        """Return until when a key holds a request back; 0 if it doesn't.

        A request without some of the parts that the crashes don't tell from this one passes:
        if it is served, it clears those that are innocent.
        """
        until = self._quarantined_until.get(key, 0.0)
        return until if until and self._companions.get(key, frozenset()).issubset(keys) else 0.0

    def take_probe(
        self, keys: t.Collection[Fingerprint], rank: t.Callable[[Fingerprint], int]
    ) -> Fingerprint | None:
        """Let a quarantined request through if it shows whether a part is fatal.

        It must be held by that part alone, and all else in it must be cleared.

        :param keys: of the request.
        :param rank: returns the rank of this daemon among all for a key, from 0.
        :returns: the part, or None if the request stays quarantined.
        """
        now = self._clock()
        suspects = [key for key in keys if key in self._crashes_by_request]
        if len(suspects) != 1 or not is_part(suspects[0]) or suspects[0] in self._probed_at:
            return None
        part = suspects[0]
        newest_at = max(crash.at for crash in self._crashes_by_request[part])
        own_rank = rank(part)
        if own_rank >= MAX_PROBERS or now < newest_at + PROBE_DELAY_SECONDS * (1 + own_rank):
            return None
        self._probed_at[part] = now
        return part

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request was under way at a remembered crash."""
        return fingerprint in self._crashes_by_request

    def is_denied_last_endpoint(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request must not get the last endpoint that could serve it."""
        crashes = self._crashes_by_request.get(fingerprint, ())
        if len(crashes) < LAST_ENDPOINT_DENIAL_CRASHES:
            return False
        newest_at = max(crash.at for crash in crashes)
        return self._clock() < newest_at + LAST_ENDPOINT_DENIAL_SECONDS

    def has_crashed(self, incarnation: Incarnation) -> bool:
        """Return whether a crash of an endpoint's incarnation is remembered."""
        return self._find_crash(incarnation) is not None

    def record_crash(
        self, incarnation: Incarnation, at: float, requests: t.Mapping[Fingerprint, Involvement]
    ) -> dict[Fingerprint, Involvement]:
        """Record a crash, or more requests of a recorded one.

        Reports of the same crash by several daemons are merged.

        :returns: the requests that were not recorded before.
        """
        if at <= self._alive_at.get(incarnation, float("-inf")):
            return {}
        unserved = {
            fingerprint: involvement
            for fingerprint, involvement in requests.items()
            if at > self._served_at.get(fingerprint, float("-inf"))
        }
        crash = self._find_crash(incarnation)
        recorded = crash.requests if crash is not None else {}
        unrecorded = [(key, found) for key, found in unserved.items() if key not in recorded]
        new = dict(unrecorded[: MAX_REQUESTS_PER_CRASH - len(recorded)])
        if not new:
            return {}
        if crash is None:
            crash = self._add_crash(Crash(incarnation, at))
        for fingerprint, involvement in new.items():
            crash.add(fingerprint, involvement)
            self._link(fingerprint, crash)
        self._evaluate()
        return new

    def record_endpoint_alive(self, incarnation: Incarnation, at: float) -> bool:
        """Forget a crash that an endpoint has outlived.

        :param at: a time at which the endpoint was alive.
        :returns: whether such a crash was recorded.
        """
        crash = self._find_crash(incarnation)
        self._alive_at[incarnation] = max(at, self._alive_at.get(incarnation, at))
        if crash is None or crash.at >= at:
            return False
        self._remove_crash(crash)
        self._evaluate()
        return True

    def record_request_served(self, fingerprint: Fingerprint, at: float) -> bool:
        """Forget a request's crashes from before it was served.

        :returns: whether there were any.
        """
        self._served_at[fingerprint] = max(at, self._served_at.get(fingerprint, at))
        crashes = [
            crash for crash in self._crashes_by_request.get(fingerprint, []) if crash.at < at
        ]
        for crash in crashes:
            del crash.requests[fingerprint]
            self._unlink(fingerprint, crash)
            if not crash.requests:
                self._remove_crash(crash)
        if crashes:
            self._evaluate()
        return bool(crashes)

    def release(self, fingerprint: Fingerprint) -> None:
        """Release a request and forget all its crashes until now."""
        self.record_request_served(fingerprint, self._clock())

    def recurring_crashes(self, among: t.Iterable[Fingerprint] | None = None) -> list[Crash]:
        """Return the crashes of requests that have several, reduced to these requests.

        :param among: the requests to consider; None for all.
        """
        considered = self._crashes_by_request if among is None else among
        recurring = {key for key in considered if len(self._crashes_by_request.get(key, ())) > 1}
        if not recurring:
            return []
        found = []
        for crash in self._all_crashes():
            requests = {key: item for key, item in crash.requests.items() if key in recurring}
            if requests:
                found.append(Crash(crash.incarnation, crash.at, requests))
        return found

    def expire(self) -> None:
        """Forget everything older than :data:`CRASH_TTL_SECONDS`."""
        begin = self._clock() - CRASH_TTL_SECONDS
        for crash in self._all_crashes():
            if crash.at < begin:
                self._remove_crash(crash)
        self._alive_at = {
            incarnation: at for incarnation, at in self._alive_at.items() if at >= begin
        }
        self._served_at = {key: at for key, at in self._served_at.items() if at >= begin}
        since = self._clock() - QUARANTINE_SECONDS
        self._probed_at = {key: at for key, at in self._probed_at.items() if at >= since}
        self._evaluate()

    def _all_crashes(self) -> list[Crash]:
        return [crash for crashes in self._crashes.values() for crash in crashes]

    def _find_crash(self, incarnation: Incarnation) -> Crash | None:
        """Return the crash of an incarnation, also if either of the two lacks ``born``."""
        for crash in self._crashes.get(incarnation.endpoint_id, ()):
            if not crash.incarnation.is_superseded_by(incarnation):
                return crash
        return None

    def _add_crash(self, crash: Crash) -> Crash:
        crashes = self._all_crashes()
        if len(crashes) >= MAX_CRASHES:
            self._remove_crash(min(crashes, key=self._retention_rank))
        self._crashes.setdefault(crash.incarnation.endpoint_id, []).append(crash)
        return crash

    def _retention_rank(self, crash: Crash) -> tuple[bool, float]:
        """Return the sort key for removal: older crashes first, quarantined requests last."""
        return not self._quarantined_until.keys().isdisjoint(crash.requests), crash.at

    def _remove_crash(self, crash: Crash) -> None:
        remaining = [
            other for other in self._crashes[crash.incarnation.endpoint_id] if other is not crash
        ]
        if remaining:
            self._crashes[crash.incarnation.endpoint_id] = remaining
        else:
            del self._crashes[crash.incarnation.endpoint_id]
        for fingerprint in crash.requests:
            self._unlink(fingerprint, crash)

    def _link(self, fingerprint: Fingerprint, crash: Crash) -> None:
        crashes = self._crashes_by_request.setdefault(fingerprint, [])
        crashes.append(crash)
        if len(crashes) >= QUARANTINE_CRASHES:
            self._candidates.add(fingerprint)

    def _unlink(self, fingerprint: Fingerprint, crash: Crash) -> None:
        remaining = [other for other in self._crashes_by_request[fingerprint] if other is not crash]
        if remaining:
            self._crashes_by_request[fingerprint] = remaining
        else:
            del self._crashes_by_request[fingerprint]
        if len(remaining) < QUARANTINE_CRASHES:
            self._candidates.discard(fingerprint)

    def _evaluate(self) -> None:
        """Quarantine the fewest requests that explain the crashes.

        The other requests of a crash were only running beside its cause.
        """
        now = self._clock()
        quarantined: dict[Fingerprint, float] = {}
        companions: dict[Fingerprint, frozenset[Fingerprint]] = {}
        unexplained = {key: self._crashes_by_request[key] for key in self._candidates}
        while unexplained:
            scores = {key: crash_score(key, crashes) for key, crashes in unexplained.items()}
            causes = [key for key, score in scores.items() if is_cause(key, score)]
            if not causes:
                break
            # Of a request and its parts, which are at the same crashes, the request is the cause.
            cause = max(causes, key=lambda key: (scores[key], not is_part(key), key))
            quarantined[cause] = scores[cause].newest_at + QUARANTINE_SECONDS
            companions[cause] = self._find_companions(cause)
            explained = unexplained.pop(cause)
            unexplained = {
                key: [crash for crash in crashes if crash not in explained]
                for key, crashes in unexplained.items()
            }
        before = self._quarantined_until
        self._quarantined_until = {key: until for key, until in quarantined.items() if until > now}
        self._companions = companions
        self._log_changes(before, now)

    def _find_companions(self, cause: Fingerprint) -> frozenset[Fingerprint]:
        """Return the parts that the crashes don't tell from a part that is their cause.

        They stood in one prompt with it at each crash, and so have the same involvement in it; one
        that had not begun to run shows nothing of that. Any of them may be the cause, or only all
        together.
        """
        if not is_part(cause):
            return frozenset()
        crashes = self._crashes_by_request[cause]
        begun = [crash for crash in crashes if crash.requests[cause].run_seconds]
        if not begun:
            return frozenset()
        common = set.intersection(*(set(crash.requests) for crash in crashes))
        return frozenset(
            key
            for key in common
            if is_part(key) and all(crash.requests[key] == crash.requests[cause] for crash in begun)
        )

    def _log_changes(self, before: t.Mapping[Fingerprint, float], now: float) -> None:
        for fingerprint in self._quarantined_until.keys() - before.keys():
            incarnations = [crash.incarnation for crash in self._crashes_by_request[fingerprint]]
            request_log.quarantined(
                fingerprint, incarnations, self._quarantined_until[fingerprint] - now
            )
        for fingerprint in before.keys() - self._quarantined_until.keys():
            is_over = before[fingerprint] <= now
            request_log.released(fingerprint, "time is over" if is_over else "not the cause")
