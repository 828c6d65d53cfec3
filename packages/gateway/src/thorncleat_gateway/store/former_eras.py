"""The revisions and records of former eras of the store, which a restore may have lost.

Owns: the last revision that was read in each former era, and the records that are still lost.
Relies on: :class:`.view.StoreView` for the ends of eras and for the records that are written.
"""

import typing as t

from ..ports import RecordChanged


class FormerEras:
    """Remembers the revision and the records that this daemon had read when an era ended.

    :ivar revisions: the last revision that was read in each former era.
    :ivar lost_records: the records of former eras that the store doesn't hold yet, by key.
    """

    def __init__(self) -> None:
        self.revisions: list[int] = []
        self.lost_records: dict[str, RecordChanged] = {}

    def record_end(self, revision: int, records: t.Mapping[str, RecordChanged]) -> None:
        """Record the last revision and the records that were read in an era that has ended."""
        self.revisions.append(revision)
        self.lost_records |= records

    def discard_record(self, key: str) -> None:
        """Discard a lost record that was written or removed in the newest era."""
        self.lost_records.pop(key, None)
