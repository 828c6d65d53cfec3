"""Loads models onto the hosts of spare endpoints, within the weight store's rate.

:mod:`.formation` decides which host loads which model, :mod:`.load_rate` how many loads may begin.

Owns: the loads under way, by endpoint.
Relies on: the list, where an endpoint names the models on its host.
"""

import dataclasses
import typing as t

from .. import events
from ..exceptions import EndpointError
from ..exceptions import EndpointRefusedError
from ..exceptions import EndpointReplacedError
from ..ports import Load
from ..settings import ControlSettings
from ..store.roster import Endpoint
from ..store.roster import Incarnation
from ..store.serving import Engine
from ..store.serving import EngineModel
from ..store.view import StoreView
from .call_window import BACKGROUND
from .formation import LoadPlan
from .jobs import Start
from .load_rate import LoadRate
from .lost_endpoints import LostCause
from .lost_endpoints import LostEndpoints
from .orders import Orders

MAX_LOAD_ATTEMPTS = 6
# Timeout of a load, as a multiple of its usual duration.
LOAD_TIMEOUT_FACTOR = 3.0


@dataclasses.dataclass(frozen=True)
class _Loading:
    """A load under way.

    :param incarnation: incarnation of the endpoint; the load ends with it.
    :param until: when the load counts as failed.
    """

    model: str
    incarnation: Incarnation
    until: float


class ModelLoader:
    """Orders loads and holds those under way.

    :param start: starts a background job of the term.
    """

    def __init__(
        self,
        settings: ControlSettings,
        view: StoreView,
        orders: Orders,
        lost: LostEndpoints,
        clock: t.Callable[[], float],
        start: Start,
    ) -> None:
        self._view = view
        self._orders = orders
        self._lost = lost
        self._clock = clock
        self._start = start
        self._loading: dict[str, _Loading] = {}
        self._rate = LoadRate(clock(), settings)

    def staging(self) -> dict[str, str]:
        """Return the model that is being loaded, by endpoint id."""
        now = self._clock()
        self._loading = {
            endpoint_id: load
            for endpoint_id, load in self._loading.items()
            if load.until > now and not self._has_ended(load)
        }
        return {endpoint_id: load.model for endpoint_id, load in self._loading.items()}

    def _has_ended(self, load: _Loading) -> bool:
        listed = self._view.roster.endpoints.get(load.incarnation.endpoint_id)
        if listed is None:
            return False
        return load.model in listed.staged or load.incarnation.is_superseded_by(listed.incarnation)

    def reserve_load(self, engine: Engine) -> bool:
        """Reserve a load within the weight store's rate; return whether it may begin."""
        return self._rate.reserve(engine, self._clock())

    def load(self, plan: LoadPlan) -> None:
        """Start to load a model onto a host."""
        endpoint, model = plan.endpoint, plan.model
        until = self._clock() + LOAD_TIMEOUT_FACTOR * model.load
        self._loading[endpoint.id] = _Loading(model.name, endpoint.incarnation, until)
        events.ENDPOINT_STAGED.log(
            endpoint=endpoint.id, model=model.name, domain=endpoint.fabric_domain
        )
        self._start(self._order(endpoint, model))

    async def _order(self, endpoint: Endpoint, model: EngineModel) -> None:
        for _ in range(MAX_LOAD_ATTEMPTS):
            try:
                await self._orders.send(endpoint, Load(model.name))
            except EndpointReplacedError:
                self._lost.mark_lost(endpoint, LostCause.PROCESS_ENDED)
            except EndpointRefusedError:
                self._lost.mark_lost(endpoint, LostCause.REFUSED)
            except EndpointError:
                # No answer; the order is sent again if the endpoint responds.
                if await self._orders.is_responding(endpoint, BACKGROUND):
                    continue
                self._lost.mark_lost(endpoint, LostCause.SILENT)
            return
