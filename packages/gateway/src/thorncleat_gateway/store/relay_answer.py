"""A relay's answer: how old what it tells is, of which era of the store, what is left of the times
after which a missing endpoint is gone, and which configuration is in force there; then the changes.

Daemons of earlier builds know no eras. They ask by other paths, and get the earlier form; this
build doesn't ask them, since what they answer may be of any era.

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
from ..ports import Settling
from . import change_codec

# a daemon of an earlier build answers 404 to these two
CHANGES_PATH = "/2/changes"
# for a daemon that knows nothing yet
SNAPSHOT_PATH = "/2/snapshot"
# of daemons of earlier builds
EARLIER_CHANGES_PATH = "/changes"
EARLIER_SNAPSHOT_PATH = "/snapshot"
EARLIER_PATHS = (EARLIER_CHANGES_PATH, EARLIER_SNAPSHOT_PATH)
SNAPSHOT_PATHS = (SNAPSHOT_PATH, EARLIER_SNAPSHOT_PATH)
PATHS = (CHANGES_PATH, SNAPSHOT_PATH, *EARLIER_PATHS)
STATUS_OK = 200  # HTTP status
# the asker has to read all anew: the relay doesn't know so far back, or the asker's era is over
HISTORY_GONE = 410  # HTTP status
# the relay itself is behind the asker's era
BEHIND = 409  # HTTP status
# age in seconds, era, seconds until missing endpoints are gone, and until those of an outage are,
# version of the configuration
_HEAD = struct.Struct("!dqddq")
# up to which both times are believed, in seconds; more than any daemon gives an entry
LONGEST_SETTLING_SECONDS = 10.0
# of the earlier form: age in seconds
_EARLIER_HEAD = struct.Struct("!d")


@dataclasses.dataclass(frozen=True)
class RelayAnswer:
    """What a relay knows of the changes since a position.

    :param age: seconds for which a change may have been made that the relay doesn't know.
    :param position: where to continue.
    :param settling: what is left, at the relay, of the times for missing endpoints.
    :param configuration: version of the one in force at the relay.
    """

    age: float
    position: Position
    settling: Settling
    configuration: int
    changes: t.Sequence[Change]


def write(age: float, era: int, settling: Settling, configuration: int, changes: bytes) -> bytes:
    """Return the body of an answer.

    :param era: of the store, in which the changes were made.
    :param configuration: version of the one in force here.
    :param changes: as :func:`.change_codec.encode` wrote them.
    """
    head = _HEAD.pack(age, era, settling.settled_in, settling.returned_in, configuration)
    return head + changes


def write_earlier(age: float, changes: bytes) -> bytes:
    """Return the body of an answer to a daemon of an earlier build."""
    return _EARLIER_HEAD.pack(age) + changes


def read(relay_id: str, status: int, body: bytes, oldest: float) -> RelayAnswer:
    """Return a relay's answer.

    :param oldest: seconds; a relay whose knowledge is older is left.
    :raises RelayError: if the relay is to be left for the store.
    :raises HistoryGoneError: if it doesn't know all that was asked for.
    """
    if status == HISTORY_GONE:
        raise HistoryCompactedError(f"relay {relay_id} does not remember so far back")
    if status != STATUS_OK or len(body) < _HEAD.size:
        raise RelayError(f"relay {relay_id} answered {status}")
    age, era, settled_in, returned_in, configuration = _HEAD.unpack(body[: _HEAD.size])
    if not 0.0 <= age <= oldest:
        raise RelayError(f"relay {relay_id} is itself {age:.3f} s behind")
    for seconds in (settled_in, returned_in):
        if not 0.0 <= seconds <= LONGEST_SETTLING_SECONDS:
            raise RelayError(f"relay {relay_id} keeps missing endpoints for {seconds:.3f} s")
    try:
        revision, changes = change_codec.decode(body[_HEAD.size :])
    except DecodeError as error:
        raise RelayError(f"relay {relay_id}: {error}") from error
    settling = Settling(settled_in, returned_in)
    return RelayAnswer(age, Position(era, revision), settling, configuration, changes)
