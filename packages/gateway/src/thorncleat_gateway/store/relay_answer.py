"""The form of a relay's answer: a head with its age, era, settling times and version, then changes.

Daemons of earlier builds don't know eras. They request other paths and get an earlier form, but
they aren't asked for changes, since their answers don't name an era.

Owns: nothing.
Relies on: :mod:`.change_codec` for the changes, and on :mod:`thorncleat_core.codec` within it.
"""

import dataclasses
import struct
import typing as t

from thorncleat_core.exceptions import DecodeError

from ..exceptions import HistoryCompactedError
from ..exceptions import RelayError
from ..ports import Change
from ..ports import Position
from ..ports import SettlingTimes
from . import change_codec
from .store_era import MAX_ERA

# Daemons of earlier builds answer 404 to these two paths.
CHANGES_PATH = "/2/changes"
SNAPSHOT_PATH = "/2/snapshot"
# Daemons of earlier builds request these paths.
EARLIER_CHANGES_PATH = "/changes"
EARLIER_SNAPSHOT_PATH = "/snapshot"
EARLIER_PATHS = (EARLIER_CHANGES_PATH, EARLIER_SNAPSHOT_PATH)
SNAPSHOT_PATHS = (SNAPSHOT_PATH, EARLIER_SNAPSHOT_PATH)
PATHS = (CHANGES_PATH, SNAPSHOT_PATH, *EARLIER_PATHS)
STATUS_OK = 200
# Status if the requesting daemon has to read a snapshot, since its position is too old or its era
# is over.
STATUS_HISTORY_COMPACTED = 410
# Status if the relay hasn't read the era of the requesting daemon yet.
STATUS_BEHIND = 409
# Age in seconds, era, both settling times in seconds, and version of the configuration.
_HEAD = struct.Struct("!dqddq")
# Answers with longer settling times are rejected; no daemon gives an entry as long.
MAX_SETTLING_SECONDS = 10.0
# Age in seconds.
_EARLIER_HEAD = struct.Struct("!d")


@dataclasses.dataclass(frozen=True)
class RelayAnswer:
    """A relay's changes since a position.

    :param age: seconds for which a change may be unknown to the relay.
    :param position: the store's position with these changes, from which to continue.
    :param settling_times: the relay's settling times.
    :param configuration: version of the configuration in force at the relay.
    """

    age: float
    position: Position
    settling_times: SettlingTimes
    configuration: int
    changes: t.Sequence[Change]


def write(
    age: float, era: int, settling_times: SettlingTimes, configuration: int, changes: bytes
) -> bytes:
    """Return the body of an answer.

    :param age: seconds for which a change may be unknown to this daemon.
    :param era: the store's era in which the changes were made.
    :param configuration: version of the configuration in force at this daemon.
    :param changes: as :func:`.change_codec.encode` returned them.
    """
    head = _HEAD.pack(
        age, era, settling_times.settled_in, settling_times.rewritten_in, configuration
    )
    return head + changes


def write_earlier(age: float, changes: bytes) -> bytes:
    """Return the body of an answer to a daemon of an earlier build."""
    return _EARLIER_HEAD.pack(age) + changes


def read(relay_id: str, status: int, body: bytes, oldest: float) -> RelayAnswer:
    """Return a relay's decoded answer.

    :param oldest: greatest accepted age in seconds.
    :raises RelayError: if the answer can't be used, and another source has to be asked.
    :raises HistoryCompactedError: if the relay no longer holds all changes that were asked for.
    """
    if status == STATUS_HISTORY_COMPACTED:
        raise HistoryCompactedError(f"relay {relay_id} does not remember so far back")
    if status != STATUS_OK or len(body) < _HEAD.size:
        raise RelayError(f"relay {relay_id} answered {status}")
    age, era, settled_in, rewritten_in, configuration = _HEAD.unpack(body[: _HEAD.size])
    if not 0.0 <= age <= oldest:
        raise RelayError(f"relay {relay_id} is itself {age:.3f} s behind")
    if not 0 <= era <= MAX_ERA:
        raise RelayError(f"relay {relay_id} names era {era}")
    for seconds in (settled_in, rewritten_in):
        if not 0.0 <= seconds <= MAX_SETTLING_SECONDS:
            raise RelayError(f"relay {relay_id} keeps missing endpoints for {seconds:.3f} s")
    try:
        revision, changes = change_codec.decode(body[_HEAD.size :])
    except DecodeError as error:
        raise RelayError(f"relay {relay_id}: {error}") from error
    settling_times = SettlingTimes(settled_in, rewritten_in)
    return RelayAnswer(age, Position(era, revision), settling_times, configuration, changes)
