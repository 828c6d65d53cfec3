"""Mean durations of the answers of services whose engines' figures aren't known.

Owns: a moving average for each service and model.
Relies on: nothing.
"""

import dataclasses

from ...model_key import ModelKey
from ..capacity_estimate import CapacityEstimate

# Weight of the latest answer in the moving average: some tens of answers count.
LATEST_WEIGHT = 0.05


class ServiceTimes:
    """Observed durations, by service and model."""

    def __init__(self) -> None:
        self._means: dict[ModelKey, float] = {}

    def record(self, key: ModelKey, seconds: float) -> None:
        """Record the duration of an attempt that was answered."""
        mean = self._means.setdefault(key, seconds)
        self._means[key] = mean + LATEST_WEIGHT * (seconds - mean)

    def complete(self, key: ModelKey, capacity: CapacityEstimate) -> CapacityEstimate:
        """Return a capacity estimate with the observed times if it has none.

        Before the first answer nothing is known, so the answer is expected at once.
        """
        if capacity.service_seconds or not capacity.slots:
            return capacity
        mean = self._means.get(key, 0.0)
        waiting = max(0, capacity.running + 1 - capacity.slots)
        first_event = mean * (1 + waiting / capacity.slots)
        return dataclasses.replace(capacity, first_event=first_event, service_seconds=mean)
