"""Chooses the service for a request of a route that is split over several services.

Owns: nothing; the choice is a pure function of the route and the number of the request.
Relies on: :mod:`..store.serving` for routes and services.
"""

from ..store.serving import Route
from ..store.serving import Service
from ..store.serving import ServingConfiguration
from ..store.serving import Split

# The fractional parts of its multiples are evenly spread over 0 to 1, so that even a few requests
# follow the weights closely.
GOLDEN_RATIO_FRACTION = 0.6180339887


def split_for(route: Route, number: int) -> Split:
    """Return the part of a route's traffic that a request belongs to.

    :param number: of the request, counted by this daemon; consecutive numbers are spread over
        the parts by their weights.
    """
    if len(route.splits) == 1:
        return route.splits[0]
    total = sum(split.weight for split in route.splits)
    point = (number * GOLDEN_RATIO_FRACTION) % 1.0 * total
    for split in route.splits:
        point -= split.weight
        if point < 0:
            return split
    # Reached by a rounding error, or if no part has a weight.
    return route.splits[-1]


def service_for(configuration: ServingConfiguration, route: Route, number: int) -> Service:
    """Return the service that a request goes to; a service without a description is plain."""
    name = split_for(route, number).service
    return configuration.services.get(name) or Service(name)
