"""How large each fabric domain is, remembered beyond a loss of endpoints.

A layout for the endpoints that are left after a loss would change with each of them, so a domain
keeps the size that it had lately.

Owns: the largest recent size of each fabric domain.
Relies on: being shown the list often, on each daemon, so that a new controller knows the sizes.
"""

import collections
import dataclasses
import typing as t

from ..store.roster import Endpoint

# after which a domain that has become smaller gets the layout of its new size, in seconds
SIZE_TTL_SECONDS = 15.0


@dataclasses.dataclass(frozen=True)
class DomainSize:
    """How many endpoints a fabric domain had at most, and when."""

    domain: str
    service: str
    failure_domain: str
    size: int
    at: float


class DomainSizes:
    """Remembers the largest recent size of each fabric domain."""

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
            size_record = self._sizes.get(domain)
            if (
                size_record is None
                or count >= size_record.size
                or now - size_record.at > SIZE_TTL_SECONDS
            ):
                self._sizes[domain] = DomainSize(domain, service, failure_domain, count, now)

    def of_service(self, service: str, present: t.Container[str]) -> list[DomainSize]:
        """Return the domains of a service that have endpoints or had some lately.

        :param present: the domains that have listed endpoints now.
        """
        now = self._clock()
        return [
            size_record
            for size_record in self._sizes.values()
            if size_record.service == service
            and (size_record.domain in present or now - size_record.at < SIZE_TTL_SECONDS)
        ]
