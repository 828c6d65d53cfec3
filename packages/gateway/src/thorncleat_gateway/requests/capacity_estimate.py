"""The capacity of all groups of a model, with the expected times of one request.

Owns: nothing.
Relies on: :mod:`.endpoint_selector`, which makes the estimates; :mod:`.overload` decides by them.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CapacityEstimate:
    """The capacity of the groups of a model that accept requests of this daemon.

    For a plain service each endpoint counts as a group.

    :param groups: number of these groups.
    :param slots: requests that they run at once.
    :param running: requests that run or wait there.
    :param free_slots: slots without a request; a group with more requests than slots has none, but
        takes none away from the others either.
    :param first_event: least expected seconds until the first event, with the wait for a slot;
        infinite without a group.
    :param service_seconds: expected seconds from the start of a request to its last event; 0 if
        unknown.
    :param report_age: seconds since the oldest load report that the numbers include.
    :param usual_service_seconds: expected seconds from start to end of a usual request; 0 if
        unknown.
    """

    groups: int
    slots: int
    running: int
    free_slots: int
    first_event: float
    service_seconds: float
    report_age: float = 0.0
    usual_service_seconds: float = 0.0

    @property
    def pressure(self) -> float:
        """Requests for each slot; infinite without a slot."""
        return self.running / self.slots if self.slots else float("inf")

    @property
    def seconds_in_slot(self) -> float:
        """Expected seconds for which a request takes a slot; 0 if unknown."""
        return self.usual_service_seconds or self.service_seconds

    @property
    def freed_per_second(self) -> float:
        """Slots that come free in a second while all are in use; 0 if unknown."""
        return self.slots / self.seconds_in_slot if self.seconds_in_slot else 0.0
