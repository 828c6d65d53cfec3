"""The recent size of each fabric domain, so that the layout doesn't change with each lost endpoint.

Owns: the largest recent size of each fabric domain.
Relies on: frequent calls with the list on each daemon, so that a new controller has the sizes.
"""

import collections
import dataclasses
import typing as t

from ..store.roster import Endpoint

# How long a domain that has shrunk keeps the layout of its former size.
SIZE_TTL_SECONDS = 15.0


@dataclasses.dataclass(frozen=True)
class DomainSize:
    """The largest recent number of endpoints of a fabric domain.

    :param at: when the domain last had that size.
    """

    domain: str
    service: str
    failure_domain: str
    size: int
    at: float


class DomainSizes:
    """Holds the largest recent size of each fabric domain."""

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._sizes: dict[str, DomainSize] = {}

    def observe(self, endpoints: t.Iterable[Endpoint]) -> None:
        """Count the listed endpoints of each domain."""
        now = self._clock()
        counts = collections.Counter(
            (endpoint.service, endpoint.fabric_domain, endpoint.failure_domain)
            for endpoint in endpoints
            if endpoint.fabric_domain
        )
        for (service, domain, failure_domain), count in counts.items():
            largest = self._sizes.get(domain)
            if largest is None or count >= largest.size or now - largest.at > SIZE_TTL_SECONDS:
                self._sizes[domain] = DomainSize(domain, service, failure_domain, count, now)

    def of_service(self, service: str, present: t.Container[str]) -> list[DomainSize]:
        """Return the sizes of a service's domains that have endpoints or had some recently.

        :param present: the domains that have listed endpoints now.
        """
        now = self._clock()
        return [
            largest
            for largest in self._sizes.values()
            if largest.service == service
            and (largest.domain in present or now - largest.at < SIZE_TTL_SECONDS)
        ]
