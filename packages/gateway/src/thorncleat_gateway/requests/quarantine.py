"""Which requests end the endpoints that run them, judged by what was under way at each crash.

An endpoint that crashes breaks all of its requests at once, and nothing says which of them was the
cause. So the judgement is the fewest requests that explain the crashes: the one that was under way
at most of them is taken for their cause, those crashes no longer count against the others, and so
on. Whoever only stood beside is at few crashes, of one cause or another, is served in the end, and
is forgotten with that. The limit counts crashes at different moments: a loss of power breaks a
request at several endpoints, but at one moment.

Owns: the crashes that are remembered, with the requests of each, and which requests are held.
Relies on: :mod:`.crash_watch` and :mod:`.crash_reporter` for the crashes, here and elsewhere. All
times are seconds on the gateway's clock.
"""

import dataclasses
import typing as t

from ..store.roster import Incarnation
from . import request_log
from .fingerprint import Fingerprint

# what a crash counts against a request that ran there
RAN_POINTS = 2
# against one that may have run there, or may only have waited: half as much
MAY_HAVE_WAITED_POINTS = 1
# at which a request is held: three crashes at different moments
LIMIT_CRASHES = 3
LIMIT_POINTS = LIMIT_CRASHES * RAN_POINTS
# within which crashes are of one moment: connections that break together take some milliseconds, a
# request that is sent again takes a fifth of a second to end the next endpoint
MOMENT_SECONDS = 0.02
# crashes from which on a request is kept from the last endpoint that could serve it
SPARED_CRASHES = 2
# after the newest of them, for which it is kept from it: others are back by then, 2 to 3 s after
# their crash
SPARED_SECONDS = 5.0
# that a request is held after its newest crash: then it is let in once more, since its endpoints
# may run other software by then
HOLD_SECONDS = 600.0
# for which a crash is remembered, longer than a request is held
REMEMBER_SECONDS = 3600.0
# crashes that are remembered at most: with 26 requests each they take 2.0 MB
MOST_CRASHES = 256
# requests of one crash that are remembered
MOST_REQUESTS = 64


class Involvement(t.NamedTuple):
    """A request's part in a crash.

    :param points: what it counts, :data:`RAN_POINTS` or :data:`MAY_HAVE_WAITED_POINTS`.
    :param ran: seconds from the head of its answer to the crash.
    """

    points: int
    ran: float


@dataclasses.dataclass(eq=False)
class Crash:
    """The end of an endpoint's life, with the requests that it broke.

    :param at: when the first connection broke.
    """

    incarnation: Incarnation
    at: float
    requests: dict[Fingerprint, Involvement] = dataclasses.field(default_factory=dict)


class _Account(t.NamedTuple):
    """What crashes count against a request; the larger one is the likelier cause.

    :param points: of crashes at different moments.
    :param minus_ran: less the seconds that it ran before them: a cause ran shortly.
    :param newest_at: when the newest of the crashes was.
    """

    points: int
    minus_ran: float
    newest_at: float


def account(fingerprint: Fingerprint, crashes: t.Iterable[Crash]) -> _Account:
    """Return what some crashes count against a request; those of one moment count once."""
    points, ran = 0, 0.0
    moment_at, moment_points, newest_at = float("-inf"), 0, float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.at):
        part = crash.requests[fingerprint]
        if crash.at - moment_at > MOMENT_SECONDS:
            points += moment_points
            moment_at, moment_points = crash.at, 0
        moment_points = max(moment_points, part.points)
        ran += part.ran
        newest_at = crash.at
    return _Account(points + moment_points, -ran, newest_at)


class Quarantine:
    """Remembers crashes, and holds the requests that explain them.

    :param clock: seconds that never go back.
    """

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._crashes: dict[str, list[Crash]] = {}
        self._by_request: dict[Fingerprint, list[Crash]] = {}
        # those of them that have enough crashes to be held
        self._frequent: set[Fingerprint] = set()
        # until when each request is held
        self._held: dict[Fingerprint, float] = {}
        # when an endpoint was last known to live, or a request to be served: crashes before that,
        # told late, don't count
        self._alive_at: dict[Incarnation, float] = {}
        self._served_at: dict[Fingerprint, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no crash is remembered."""
        return not self._crashes

    @property
    def holds_any(self) -> bool:
        """Whether any request may be held."""
        return bool(self._held)

    @property
    def held(self) -> t.Collection[Fingerprint]:
        """The requests that are held."""
        now = self._clock()
        return [fingerprint for fingerprint, until in self._held.items() if until > now]

    def held_for(self, fingerprint: Fingerprint) -> float:
        """Return the seconds for which a request is still held; 0 if it isn't."""
        return max(0.0, self._held.get(fingerprint, 0.0) - self._clock())

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request was under way at a crash that is remembered."""
        return fingerprint in self._by_request

    def spares_last(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request is to be kept from the last endpoint that could serve it."""
        crashes = self._by_request.get(fingerprint, ())
        if len(crashes) < SPARED_CRASHES:
            return False
        newest_at = max(crash.at for crash in crashes)
        return self._clock() < newest_at + SPARED_SECONDS

    def knows(self, incarnation: Incarnation) -> bool:
        """Return whether an endpoint's life is remembered to have ended by a crash."""
        return self._find(incarnation) is not None

    def note(
        self, incarnation: Incarnation, at: float, requests: t.Mapping[Fingerprint, Involvement]
    ) -> dict[Fingerprint, Involvement]:
        """Remember a crash, or more requests of one that is remembered; return what is new.

        It may be told several times and by several daemons, and is one crash.
        """
        if at <= self._alive_at.get(incarnation, float("-inf")):
            return {}
        wanted = {
            fingerprint: found
            for fingerprint, found in requests.items()
            if at > self._served_at.get(fingerprint, float("-inf"))
        }
        crash = self._find(incarnation)
        known = crash.requests if crash is not None else {}
        unknown = [(key, found) for key, found in wanted.items() if key not in known]
        new = dict(unknown[: MOST_REQUESTS - len(known)])
        if not new:
            return {}
        if crash is None:
            crash = self._add(Crash(incarnation, at))
        for fingerprint, found in new.items():
            crash.requests[fingerprint] = found
            self._link(fingerprint, crash)
        self._judge()
        return new

    def endpoint_lives(self, incarnation: Incarnation, at: float) -> bool:
        """Forget a crash of an endpoint that lived later; return whether one was remembered."""
        crash = self._find(incarnation)
        self._alive_at[incarnation] = max(at, self._alive_at.get(incarnation, at))
        if crash is None or crash.at >= at:
            return False
        self._drop(crash)
        self._judge()
        return True

    def request_served(self, fingerprint: Fingerprint, at: float) -> bool:
        """Forget the crashes of a request that was served later; return whether there were any."""
        self._served_at[fingerprint] = max(at, self._served_at.get(fingerprint, at))
        crashes = [crash for crash in self._by_request.get(fingerprint, []) if crash.at < at]
        for crash in crashes:
            del crash.requests[fingerprint]
            self._unlink(fingerprint, crash)
            if not crash.requests:
                self._drop(crash)
        if crashes:
            self._judge()
        return bool(crashes)

    def lift(self, fingerprint: Fingerprint) -> None:
        """Forget all crashes of a request until now."""
        self.request_served(fingerprint, self._clock())

    def repeated(self, among: t.Iterable[Fingerprint] | None = None) -> list[Crash]:
        """Return the crashes of requests that were under way at several, with these alone.

        :param among: the requests that are asked for; None for all.
        """
        asked = self._by_request if among is None else among
        wanted = {key for key in asked if len(self._by_request.get(key, ())) > 1}
        if not wanted:
            return []
        found = []
        for crash in self._all():
            requests = {key: part for key, part in crash.requests.items() if key in wanted}
            if requests:
                found.append(Crash(crash.incarnation, crash.at, requests))
        return found

    def expire(self) -> None:
        """Forget what is too old."""
        begin = self._clock() - REMEMBER_SECONDS
        for crash in self._all():
            if crash.at < begin:
                self._drop(crash)
        self._alive_at = {
            incarnation: at for incarnation, at in self._alive_at.items() if at >= begin
        }
        self._served_at = {key: at for key, at in self._served_at.items() if at >= begin}
        self._judge()

    def _all(self) -> list[Crash]:
        return [crash for crashes in self._crashes.values() for crash in crashes]

    def _find(self, incarnation: Incarnation) -> Crash | None:
        """Return the crash of an endpoint's life, also if one of the two doesn't tell ``born``."""
        for crash in self._crashes.get(incarnation.endpoint_id, ()):
            if not crash.incarnation.is_superseded_by(incarnation):
                return crash
        return None

    def _add(self, crash: Crash) -> Crash:
        crashes = self._all()
        if len(crashes) >= MOST_CRASHES:
            self._drop(min(crashes, key=self._keeping_rank))
        self._crashes.setdefault(crash.incarnation.endpoint_id, []).append(crash)
        return crash

    def _keeping_rank(self, crash: Crash) -> tuple[bool, float]:
        """Return a rank for keeping a crash: those of requests that are held, then newer ones."""
        return not self._held.keys().isdisjoint(crash.requests), crash.at

    def _drop(self, crash: Crash) -> None:
        kept = [
            other for other in self._crashes[crash.incarnation.endpoint_id] if other is not crash
        ]
        if kept:
            self._crashes[crash.incarnation.endpoint_id] = kept
        else:
            del self._crashes[crash.incarnation.endpoint_id]
        for fingerprint in crash.requests:
            self._unlink(fingerprint, crash)

    def _link(self, fingerprint: Fingerprint, crash: Crash) -> None:
        crashes = self._by_request.setdefault(fingerprint, [])
        crashes.append(crash)
        if len(crashes) >= LIMIT_CRASHES:
            self._frequent.add(fingerprint)

    def _unlink(self, fingerprint: Fingerprint, crash: Crash) -> None:
        kept = [other for other in self._by_request[fingerprint] if other is not crash]
        if kept:
            self._by_request[fingerprint] = kept
        else:
            del self._by_request[fingerprint]
        if len(kept) < LIMIT_CRASHES:
            self._frequent.discard(fingerprint)

    def _judge(self) -> None:
        """Hold the fewest requests that explain the crashes."""
        now = self._clock()
        held: dict[Fingerprint, float] = {}
        unexplained = {key: self._by_request[key] for key in self._frequent}
        while unexplained:
            accounts = {key: account(key, crashes) for key, crashes in unexplained.items()}
            cause = max(accounts, key=lambda key: (accounts[key], key))
            if accounts[cause].points < LIMIT_POINTS:
                break
            held[cause] = accounts[cause].newest_at + HOLD_SECONDS
            explained = unexplained.pop(cause)
            unexplained = {
                key: [crash for crash in crashes if crash not in explained]
                for key, crashes in unexplained.items()
            }
        before = self._held
        self._held = {key: until for key, until in held.items() if until > now}
        self._log_difference(before, now)

    def _log_difference(self, before: t.Mapping[Fingerprint, float], now: float) -> None:
        for fingerprint in self._held.keys() - before.keys():
            incarnations = [crash.incarnation for crash in self._by_request[fingerprint]]
            request_log.quarantined(fingerprint, incarnations, self._held[fingerprint] - now)
        for fingerprint in before.keys() - self._held.keys():
            is_over = before[fingerprint] <= now
            request_log.released(fingerprint, "time is over" if is_over else "not the cause")
