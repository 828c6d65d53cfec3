"""Whether a group is silent, judged by the events of the streams that this daemon has in it.

A group makes its events for all of its streams in step, so silence on all of them at once
is evidence long before any one stream's pause would be.

One stream may be silent alone: a connection that is open can fall silent for good while new ones to
the same engine work.

Owns: nothing; every rule is a pure function of times, in seconds.
Relies on: :class:`~..settings.StreamSettings` for the bounds, and on a clock that never goes
back.
"""

import enum
import typing as t

from ..settings import StreamSettings

# the cause of a suspicion, as it stands in the log line, for both kinds of silence
CAUSE = "silence"
# why a stream leaves its group, as it stands in the log line of its attempt
GROUP_SILENT = "group silent"
STREAM_SILENT = "stream silent, its group is not"
# seconds by which a stream is behind the others of its group before its connection is taken for
# silent: an engine that runs out of memory reads a request anew, and makes no event for it
# meanwhile
BEHIND_SECONDS = 1.0
# usual gaps between events after which silence is evidence enough where the group is suspected
# already
SUSPECTED_GAPS = 1.5
# seconds after which another daemon's word that it hears a group is no evidence any more: a report
# comes each 0.1 s where there are few daemons, and one may be lost
HEARD_ELSEWHERE_SECONDS = 0.15


class Verdict(enum.Enum):
    """What the times of a group's last events say."""

    ALIVE = "alive"
    NO_FIRST_EVENT = "no first event"
    NO_FURTHER_EVENT = "no further event"

    @property
    def silent(self) -> bool:
        """Whether the group is silent."""
        return self is not Verdict.ALIVE


class Stream(t.Protocol):
    """What is known of one stream in a group."""

    @property
    def started_at(self) -> float:
        """When its request was sent."""
        ...

    @property
    def last_at(self) -> float:
        """When its last event came; 0 if none has come."""
        ...

    @property
    def gap(self) -> float:
        """Its usual seconds between two events; 0 if that isn't known."""
        ...


def judge(
    now: float,
    heard_at: float,
    streams: t.Collection[Stream],
    settings: StreamSettings,
    *,
    suspected: bool,
    elsewhere_at: float = float("-inf"),
) -> Verdict:
    """Return whether a group is silent.

    Once any stream has events, the newest event of all of them counts; before that, the oldest
    request does, and a group that others hear is only busy: it reads long prompts, or many.

    :param heard_at: when this daemon last heard anything from the group's leader.
    :param elsewhere_at: when another daemon last told that it hears the leader.
    :param streams: this daemon's streams in the group, at least one.
    :param suspected: whether the group is suspected already, by this daemon or by another.
    """
    writing = [stream for stream in streams if stream.last_at > 0]
    if not writing:
        first = min(stream.started_at for stream in streams)
        overdue = now - max(heard_at, first) > settings.first_event
        busy = now - elsewhere_at <= HEARD_ELSEWHERE_SECONDS
        return Verdict.NO_FIRST_EVENT if overdue and not busy else Verdict.ALIVE
    newest = max(stream.last_at for stream in writing)
    gap = max(stream.gap for stream in writing)
    overdue = now - max(heard_at, newest) > silence_limit(gap, settings, suspected=suspected)
    return Verdict.NO_FURTHER_EVENT if overdue else Verdict.ALIVE


def is_cut_off(stream: Stream, newest_at: float) -> bool:
    """Return whether a stream gets no event while others of its group do.

    Before its first event it may only be queued.

    :param newest_at: when the newest event of this daemon's streams in the group came.
    """
    return stream.last_at > 0 and newest_at - stream.last_at > BEHIND_SECONDS


def silence_limit(gap: float, settings: StreamSettings, *, suspected: bool) -> float:
    """Return the seconds without an event after which a group is silent.

    :param gap: the longest usual gap of its streams.
    :param suspected: whether the group is suspected already.
    """
    if suspected:
        return max(settings.suspected, SUSPECTED_GAPS * gap)
    return min(max(settings.gaps * gap, settings.least_silence), settings.most_silence)


def has_waited(now: float, stream: Stream, settings: StreamSettings) -> bool:
    """Return whether a stream in a silent group has itself waited long enough to leave it."""
    return now - max(stream.started_at, stream.last_at) > settings.suspected


def is_believed(now: float, heard_at: float, settings: StreamSettings) -> bool:
    """Return whether another daemon's suspicion of a group counts here.

    A daemon that is cut off suspects every group, so what is heard here counts more.

    :param heard_at: when this daemon last heard anything from the group's leader.
    """
    return now - heard_at > settings.least_silence
