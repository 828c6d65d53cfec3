"""The record of the store's era in which the configuration is known to be complete.

After a restore from a copy, the stored configuration may lack what the operator wrote last. A
daemon that starts then has read nothing before and can't tell a copy from the newest state, except
by this record: a copy names an earlier era than the store's answers.

Owns: nothing.
Relies on: an era being recorded only once the operator has written in it, or could have.
"""

import typing as t

import msgpack

from ..ports import RecordChanged

COMPLETE_ERA_KEY = "thorncleat/complete-era"
_FORMAT = 1


def encode(era: int) -> bytes:
    """Return the value of the record that names an era."""
    packed: bytes = msgpack.packb([_FORMAT, era])
    return packed


def recorded_era(records: t.Mapping[str, RecordChanged]) -> int | None:
    """Return the era that the record names; None if there is no readable record."""
    record = records.get(COMPLETE_ERA_KEY)
    if record is None or record.value is None:
        return None
    try:
        fields = msgpack.unpackb(record.value)
    except (ValueError, msgpack.exceptions.UnpackException):
        return None
    match fields:
        case [1, int(era)]:
            return era
    return None
