"""What this daemon knows of the store's former eras and the store itself has lost.

Owns: the last revision that was read in each former era, and the records that are still lost.
Relies on: :class:`.view.StoreView` for the ends of eras and for the records that are written.
"""

import typing as t

from ..ports import RecordChanged


class FormerEras:
    """Remembers the revisions and records that were known when an era ended.

    :ivar revisions: the last revision that was read in each former era.
    :ivar lost_records: the records of former eras that the store doesn't hold yet, by key.
    """

    def __init__(self) -> None:
        self.revisions: list[int] = []
        self.lost_records: dict[str, RecordChanged] = {}

    def record_end(self, revision: int, records: t.Mapping[str, RecordChanged]) -> None:
        """Record what was known at the end of an era."""
        self.revisions.append(revision)
        self.lost_records |= records

    def discard_record(self, key: str) -> None:
        """Discard a lost record that was written or removed in the newest era."""
        self.lost_records.pop(key, None)
