"""What this daemon knows of the store's former eras, which the store itself has lost.

Owns: the last revision that was read in each, and the records that were not found again since.
Relies on: :class:`.view.StoreView` for the ends of eras and for the records that are written.
"""

import typing as t

from ..ports import RecordChanged


class FormerEras:
    """Remembers what was known when an era ended.

    :ivar revisions: the last one that was read in each former era.
    :ivar lost_records: those of former eras that the store does not have yet, by key.
    """

    def __init__(self) -> None:
        self.revisions: list[int] = []
        self.lost_records: dict[str, RecordChanged] = {}

    def end(self, revision: int, records: t.Mapping[str, RecordChanged]) -> None:
        """Take in what was known at the end of an era."""
        self.revisions.append(revision)
        self.lost_records |= records

    def written(self, key: str) -> None:
        """Take in that a record was written or removed in the newest era."""
        self.lost_records.pop(key, None)
