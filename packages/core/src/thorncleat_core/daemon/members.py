"""The membership of daemons: the platform's list without the daemons that fail probes.

A daemon probes its neighbours on the overlay. A suspicion is a directory record with the suspect's
incarnation, and the suspect refutes it by raising the incarnation.

Owns: the list of daemons and the failed probes of the neighbours.
Relies on: the directory to distribute suspicions and refutations.
"""

import typing as t

from . import overlay
from .directory import Directory
from .directory import Record

PREFIX = "member/"


class Members:
    """The membership from the perspective of one daemon.

    :param own_id: id of this daemon.
    :param suspect_after: number of consecutive failed probes until a neighbour is suspected.
    """

    def __init__(self, own_id: str, directory: Directory, suspect_after: int = 3) -> None:
        self._own_id = own_id
        self._directory = directory
        self._suspect_after = suspect_after
        self._addresses: dict[str, str] = {}
        self._failed_probes: dict[str, int] = {}
        self._incarnation = 0
        self._neighbours: list[str] = []
        self._alive: tuple[str, ...] = (own_id,)

    @property
    def addresses(self) -> t.Mapping[str, str]:
        """The addresses of the listed daemons, including this one."""
        return self._addresses

    @property
    def alive(self) -> tuple[str, ...]:
        """The ids of the listed daemons that are not suspected and of this one, sorted."""
        return self._alive

    @property
    def neighbours(self) -> list[str]:
        """The daemons to probe and to forward records to."""
        return self._neighbours

    def update_list(self, addresses: t.Mapping[str, str]) -> None:
        """Update the platform's list of daemons.

        A daemon whose address has changed starts without failed probes.

        :param addresses: addresses by daemon id.
        """
        for name, address in addresses.items():
            if self._addresses.get(name) not in (None, address):
                self._failed_probes.pop(name, None)
        for name in set(self._addresses) - set(addresses):
            self._failed_probes.pop(name, None)
            self._directory.remove(PREFIX + name)
        if set(addresses) != set(self._addresses):
            self._neighbours = overlay.neighbours(self._own_id, addresses)
        self._addresses = dict(addresses)
        self.refresh_alive()

    def record_answer(self, name: str) -> None:
        """Record a successful probe of a daemon."""
        self._failed_probes.pop(name, None)

    def record_missed_probe(self, name: str) -> Record | None:
        """Record a failed probe and return the suspicion to distribute, if one is due."""
        if name not in self._addresses:
            return None
        count = self._failed_probes.get(name, 0) + 1
        self._failed_probes[name] = count
        if count < self._suspect_after or self._is_suspected(name):
            return None
        existing = self._directory.get(PREFIX + name)
        incarnation = existing.version[0] if existing else 0
        return Record(PREFIX + name, (incarnation, 1))

    def create_refutation(self) -> Record | None:
        """Return the record that refutes the suspicion of this daemon, or None if there is none."""
        existing = self._directory.get(PREFIX + self._own_id)
        if existing is None or existing.version[1] == 0:
            return None
        self._incarnation = existing.version[0] + 1
        return Record(PREFIX + self._own_id, (self._incarnation, 0))

    def refresh_alive(self) -> None:
        """Update :attr:`alive` after a change of the list or of a record."""
        unsuspected = {name for name in self._addresses if not self._is_suspected(name)}
        self._alive = tuple(sorted(unsuspected | {self._own_id}))

    def _is_suspected(self, name: str) -> bool:
        record = self._directory.get(PREFIX + name)
        return record is not None and record.version[1] == 1
