"""Rules that decide from the events of this daemon's streams whether a group is silent.

A group produces the events of all of its streams in step, so silence on all of them at once is
stronger evidence than a pause of a single stream, whose connection alone may be broken.

Owns: nothing; every rule is a pure function of times in seconds.
Relies on: :class:`~..settings.StreamSettings` for the timeouts; the clock must never go back.
"""

import enum
import typing as t

from ..settings import StreamSettings

# Logged cause of a suspicion.
SUSPICION_CAUSE = "silence"
# Logged causes of aborted attempts.
GROUP_SILENT_CAUSE = "group silent"
STREAM_SILENT_CAUSE = "stream silent, its group is not"
ENDPOINT_SILENT_CAUSE = "endpoint silent"
# How far a stream may lag behind the others of its group. An engine that runs out of memory reads
# a prompt again and sends no events for that stream meanwhile.
STALL_TIMEOUT_SECONDS = 1.0
# Timeout of a group that is suspected already, in average gaps between events.
SUSPECTED_TIMEOUT_GAPS = 1.5
# How long a contact that another daemon reports counts. In a small fleet a report comes each 0.1 s,
# and one may be lost.
REMOTE_CONTACT_TTL_SECONDS = 0.15


class Liveness(enum.Enum):
    """Whether a group is alive, as the times of its last events show."""

    ALIVE = "alive"
    NO_FIRST_EVENT = "no first event"
    NO_FURTHER_EVENT = "no further event"

    @property
    def is_silent(self) -> bool:
        """Whether the group is silent."""
        return self is not Liveness.ALIVE


class Allowance(t.NamedTuple):
    """The seconds without an event that a stream's route allows a plain endpoint.

    :param first_event: before the first event.
    :param further_event: between two events.
    """

    first_event: float
    further_event: float


class Stream(t.Protocol):
    """The times of one stream in a group."""

    @property
    def started_at(self) -> float:
        """Time at which the stream's request was sent."""
        ...

    @property
    def last_at(self) -> float:
        """Time of the stream's last event; 0 before the first one."""
        ...

    @property
    def gap(self) -> float:
        """Average seconds between two events; 0 if unknown."""
        ...


def classify_group(
    now: float,
    last_contact_at: float,
    streams: t.Collection[Stream],
    settings: StreamSettings,
    *,
    is_suspected: bool,
    remote_contact_at: float = float("-inf"),
    is_full: bool = False,
) -> Liveness:
    """Return whether a group is alive, and otherwise how it is silent.

    As soon as any stream has events, the latest event of all streams counts. Before that, the
    oldest request counts, and a group that answers other daemons is busy reading prompts.

    :param last_contact_at: when the group's leader last answered this daemon.
    :param remote_contact_at: when another daemon last reported an answer of the leader.
    :param streams: this daemon's streams in the group, at least one.
    :param is_suspected: whether any daemon suspects the group already.
    :param is_full: whether its slots are all taken, so that a request may wait for one.
    """
    started = [stream for stream in streams if stream.last_at > 0]
    if not started:
        oldest_at = min(stream.started_at for stream in streams)
        timeout = settings.queued_first_event if is_full else settings.first_event
        overdue = now - max(last_contact_at, oldest_at) > timeout
        is_busy = now - remote_contact_at <= REMOTE_CONTACT_TTL_SECONDS
        return Liveness.NO_FIRST_EVENT if overdue and not is_busy else Liveness.ALIVE
    latest_at = max(stream.last_at for stream in started)
    gap = max(stream.gap for stream in started)
    overdue = now - max(last_contact_at, latest_at) > silence_timeout(
        gap, settings, is_suspected=is_suspected
    )
    return Liveness.NO_FURTHER_EVENT if overdue else Liveness.ALIVE


def is_stalled(stream: Stream, latest_event_at: float) -> bool:
    """Return whether a stream gets no events while others of its group do.

    A stream that has no event yet may still be queued.

    :param latest_event_at: time of the latest event of this daemon's streams in the group.
    """
    return stream.last_at > 0 and latest_event_at - stream.last_at > STALL_TIMEOUT_SECONDS


def is_silent_alone(
    now: float, stream: Stream, allowance: Allowance, settings: StreamSettings
) -> bool:
    """Return whether a plain endpoint is silent to a stream.

    Its streams don't run in step, and nothing is known of its times. So each stream is looked at by
    itself, and the endpoint may take what the route allows, and no less time than a group.
    """
    if stream.last_at > 0:
        return now - stream.last_at > max(settings.most_silence, allowance.further_event)
    return now - stream.started_at > max(settings.first_event, allowance.first_event)


def silence_timeout(gap: float, settings: StreamSettings, *, is_suspected: bool) -> float:
    """Return the seconds without an event after which a group is silent.

    :param gap: the longest average gap of its streams.
    :param is_suspected: whether the group is suspected already.
    """
    if is_suspected:
        return max(settings.suspected, SUSPECTED_TIMEOUT_GAPS * gap)
    return min(max(settings.gaps * gap, settings.least_silence), settings.most_silence)


def latest_sign_at(streams: t.Collection[Stream]) -> float:
    """Return the time since which a group's silence counts: that of the latest event.

    Before the first event it is the time of the oldest request.
    """
    started = [stream.last_at for stream in streams if stream.last_at > 0]
    return max(started) if started else min(stream.started_at for stream in streams)


def is_overdue(now: float, stream: Stream, settings: StreamSettings) -> bool:
    """Return whether a stream has waited long enough to leave a silent group."""
    return now - max(stream.started_at, stream.last_at) > settings.suspected


def is_credible(now: float, last_contact_at: float, settings: StreamSettings) -> bool:
    """Return whether this daemon adopts another daemon's suspicion of a group.

    A daemon that is cut off from the network suspects every group, so a recent answer to this
    daemon takes precedence.

    :param last_contact_at: when the group's leader last answered this daemon.
    """
    return now - last_contact_at > settings.least_silence
