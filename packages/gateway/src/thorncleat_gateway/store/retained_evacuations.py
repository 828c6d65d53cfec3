"""The evacuations that a restored store lacks, which stay in force until they can be written again.

Owns: which evacuations are in force although the store doesn't hold them, and until when.
Relies on: operators writing again within :data:`.freshness.ENTRY_REWRITE_SECONDS` of a restore.
"""

import typing as t

from ..ports import RecordChanged
from .evacuated_domains import EVACUATIONS_PREFIX


class RetainedEvacuations:
    """Remembers the evacuations that were known before a restore and that the store has lost."""

    def __init__(self) -> None:
        self._records: dict[str, RecordChanged] = {}
        self._until = float("inf")

    @property
    def next_due(self) -> float:
        """The time at which the evacuations end unless they are written again."""
        return self._until if self._records else float("inf")

    @property
    def records(self) -> t.Mapping[str, RecordChanged]:
        """The records that the store lacks, by key."""
        return self._records

    def retain(self, known: t.Mapping[str, RecordChanged], until: float) -> None:
        """Retain the evacuations among the records that were known before a restore."""
        self._records = {
            key: record for key, record in known.items() if key.startswith(EVACUATIONS_PREFIX)
        }
        self._until = until

    def discard(self, key: str) -> None:
        """Discard an evacuation that the store holds, or that was ended."""
        self._records.pop(key, None)

    def expire(self, now: float) -> list[str]:
        """Discard the evacuations that weren't written again in time, and return their keys."""
        if now < self.next_due:
            return []
        expired = list(self._records)
        self._records = {}
        return expired
