"""Loading models onto the hosts of spare endpoints, within the weight store's rate.

Which host loads what is decided in :mod:`.formation`, how many may begin in :mod:`.load_rate`.

Owns: the loads under way, by endpoint.
Relies on: the list, where an endpoint shows which models lie on its host.
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
from ..store.roster import Life
from ..store.serving import Engine
from ..store.serving import EngineModel
from ..store.view import StoreView
from .call_window import LAST
from .formation import LoadPlan
from .jobs import Start
from .load_rate import LoadRate
from .lost_endpoints import LostCause
from .lost_endpoints import LostEndpoints
from .orders import Orders

# orders that one endpoint is given for a load
LOAD_TRIES = 6
# times its usual duration after which a load counts as failed
LOAD_PATIENCE = 3.0


@dataclasses.dataclass(frozen=True)
class _Loading:
    """A load under way.

    :param life: of the endpoint; a load ends with it.
    :param until: when it counts as failed.
    """

    model: str
    life: Life
    until: float


class ModelLoader:
    """Orders loads, and knows which are under way.

    :param start: runs a coroutine beside the others of the controller.
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
            if load.until > now and not self._is_over(load)
        }
        return {endpoint_id: load.model for endpoint_id, load in self._loading.items()}

    def _is_over(self, load: _Loading) -> bool:
        listed = self._view.roster.endpoints.get(load.life.endpoint_id)
        if listed is None:
            return False
        return load.model in listed.staged or load.life.is_over(listed.life)

    def may_load(self, engine: Engine) -> bool:
        """Count a load against the weight store's rate; return whether it may begin."""
        return self._rate.take(engine, self._clock())

    def load(self, plan: LoadPlan) -> None:
        """Begin to load a model onto a host."""
        endpoint, model = plan.endpoint, plan.model
        until = self._clock() + LOAD_PATIENCE * model.load
        self._loading[endpoint.id] = _Loading(model.name, endpoint.life, until)
        events.ENDPOINT_STAGED.log(
            endpoint=endpoint.id, model=model.name, domain=endpoint.fabric_domain
        )
        self._start(self._order(endpoint, model))

    async def _order(self, endpoint: Endpoint, model: EngineModel) -> None:
        for _ in range(LOAD_TRIES):
            try:
                await self._orders.give(endpoint, Load(model.name))
            except EndpointReplacedError:
                self._lost.lose(endpoint, LostCause.PROCESS_ENDED)
            except EndpointRefusedError:
                self._lost.lose(endpoint, LostCause.REFUSED)
            except EndpointError:
                # the order got no answer; it is repeated if the endpoint lives
                if await self._orders.answers(endpoint, LAST):
                    continue
                self._lost.lose(endpoint, LostCause.SILENT)
            return
