"""Which daemons are there: the platform's list, corrected by the daemons' own probing.

A daemon probes only its neighbours on the overlay. A suspicion is a directory record with
the suspect's own incarnation; only the suspect can raise that and so refute it. A false
suspicion moves some preferences for a moment and nothing else.

Owns: which daemons are listed, and who of the neighbours has missed probes.
Relies on: the directory, which carries suspicions and their refutation.
"""

import typing as t

from . import overlay
from .directory import Directory
from .directory import Record

PREFIX = "member/"


class Members:
    """The membership as one daemon sees it.

    :param me: this daemon's id.
    :param tolerance: probes that may fail in a row before a neighbour is suspected.
    """

    def __init__(self, me: str, directory: Directory, tolerance: int = 3) -> None:
        self._me = me
        self._directory = directory
        self._tolerance = tolerance
        self._addresses: dict[str, str] = {}
        self._misses: dict[str, int] = {}
        self._incarnation = 0
        self._neighbours: list[str] = []
        self._alive: tuple[str, ...] = (me,)

    @property
    def addresses(self) -> t.Mapping[str, str]:
        """Addresses of the listed daemons, this one included."""
        return self._addresses

    @property
    def alive(self) -> tuple[str, ...]:
        """The daemons that are listed and not suspected, sorted; always this one too."""
        return self._alive

    @property
    def neighbours(self) -> list[str]:
        """The daemons to probe and to pass records on to."""
        return self._neighbours

    def update_list(self, addresses: t.Mapping[str, str]) -> None:
        """Note the platform's list.

        A daemon that is listed under another address is a new one and not suspected.
        """
        for name, address in addresses.items():
            if self._addresses.get(name) not in (None, address):
                self._misses.pop(name, None)
        for name in set(self._addresses) - set(addresses):
            self._misses.pop(name, None)
            self._directory.remove(PREFIX + name)
        if set(addresses) != set(self._addresses):
            self._neighbours = overlay.neighbours(self._me, addresses)
        self._addresses = dict(addresses)
        self.refresh_alive()

    def record_answer(self, name: str) -> None:
        """Note an answer of a peer."""
        self._misses.pop(name, None)

    def record_missed_probe(self, name: str) -> Record | None:
        """Note a probe without answer; return the suspicion to flood when it is due."""
        if name not in self._addresses:
            return None
        count = self._misses.get(name, 0) + 1
        self._misses[name] = count
        if count < self._tolerance or self._suspected(name):
            return None
        known = self._directory.get(PREFIX + name)
        incarnation = known.version[0] if known else 0
        return Record(PREFIX + name, (incarnation, 1))

    def create_refutation(self) -> Record | None:
        """Return the record that refutes a suspicion of this daemon, if there is one."""
        known = self._directory.get(PREFIX + self._me)
        if known is None or known.version[1] == 0:
            return None
        self._incarnation = known.version[0] + 1
        return Record(PREFIX + self._me, (self._incarnation, 0))

    def refresh_alive(self) -> None:
        """Recompute who is alive, after a record or the list changed."""
        found = {name for name in self._addresses if not self._suspected(name)}
        self._alive = tuple(sorted(found | {self._me}))

    def _suspected(self, name: str) -> bool:
        known = self._directory.get(PREFIX + name)
        return known is not None and known.version[1] == 1
