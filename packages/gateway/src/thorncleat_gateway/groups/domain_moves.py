"""Carries out the moves of fabric domains to models in need, one at a time in each service.

The hosts of a moving domain load the new model while its groups still serve. Then the groups are
closed, as many at a time as the giving model allows, and groups of the new model are formed. Each
step is written to the store before its first order, so that the next controller goes on with it.

Owns: the demand for the models in this term, and the state of a move that isn't in its record.
Relies on: :mod:`.placement` for which domain moves, :class:`.PlacementRecords` for the record,
:mod:`.formation` for groups and loads of the domains that don't load for a move.
"""

import collections
import dataclasses
import typing as t

from .. import events
from ..exceptions import StoreError
from ..peers.load_table import LoadTable
from ..store.roster import Group
from ..store.serving import Engine
from ..store.view import StoreView
from . import placement
from .demand import Demand
from .demand import ModelDemand
from .ending import DRAIN_TIMEOUT_SECONDS
from .ending import GroupEnding
from .formation import LoadPlan
from .forming_state import FormingState
from .group_health import EndReason
from .jobs import Start
from .move_situation import Situation
from .placement import Move
from .placement_records import Placement
from .placement_records import PlacementRecords
from .records import GroupRecords

# A move whose need has been over for this long is abandoned; shorter pauses of the demand don't
# waste the loads.
ABANDON_SECONDS = 15.0
# Pause after a move before the next one may begin, so that its effect on the demand is seen.
SETTLE_SECONDS = 20.0
# Pause after a write that failed, in which the view shows whether it was carried out.
WRITE_RETRY_SECONDS = 1.0


@dataclasses.dataclass
class _ServiceState:
    """What a term knows of a service's moves beside its record.

    :param loading_since: when this term first saw the hosts of the present move load.
    :param unable_since: since when the present move can't close a group; None if it can.
    :param begin_at: no move begins before this time.
    :param write_at: no record is written before this time.
    :param ignored: version of the record and its names that were ignored.
    """

    demand: Demand
    is_writing: bool = False
    loading_since: float | None = None
    unable_since: float | None = None
    begin_at: float = float("-inf")
    write_at: float = float("-inf")
    ignored: tuple[int, frozenset[str]] | None = None


class DomainMoves:
    """Decides on moves and carries them out during one term.

    :param start: starts a background job of the term.
    """

    def __init__(
        self,
        view: StoreView,
        load_table: LoadTable,
        placements: PlacementRecords,
        records: GroupRecords,
        ending: GroupEnding,
        forming_state: FormingState,
        clock: t.Callable[[], float],
        start: Start,
    ) -> None:
        self._view = view
        self._load_table = load_table
        self._placements = placements
        self._records = records
        self._ending = ending
        self._forming_state = forming_state
        self._clock = clock
        self._start = start
        self._states: dict[str, _ServiceState] = {}

    def demands(self) -> dict[tuple[str, str], ModelDemand]:
        """Return the demand by service and model."""
        return {
            (service, model): found
            for service, state in self._states.items()
            for model, found in state.demand.by_model().items()
        }

    def placed(self, service: str) -> dict[str, str]:
        """Return the model of each domain that the placement has assigned."""
        current, move = self._placements.current(service), self._move(service)
        if current is None:
            return {}
        moved = {move.domain: move.receiving} if move is not None and move.is_closing else {}
        return {**current.domains, **moved}

    def _engine(self, service: str) -> Engine | None:
        configuration = self._view.configuration
        found = configuration.services.get(service) if configuration is not None else None
        return found.engine if found is not None else None

    def _move(self, service: str) -> Move | None:
        """Return the move under way; None if the configuration doesn't have its models."""
        current, engine = self._placements.current(service), self._engine(service)
        move = current.move if current is not None else None
        if move is None or engine is None:
            return None
        is_known = engine.model(move.giving) and engine.model(move.receiving)
        return move if is_known else None

    def target(
        self, service: str, domain: str, target: collections.Counter[str]
    ) -> collections.Counter[str]:
        """Return the groups of a domain without those of a model that it moves from."""
        move = self._move(service)
        if move is None or move.domain != domain:
            return target
        kept = {model: count for model, count in target.items() if model != move.giving}
        return collections.Counter(kept)

    def is_moving(self, service: str, domain: str) -> bool:
        """Return whether a domain moves; its groups aren't replaced for slow members."""
        move = self._move(service)
        return move is not None and move.domain == domain

    def is_loading(self, service: str, domain: str) -> bool:
        """Return whether the hosts of a domain load for a move."""
        move = self._move(service)
        return move is not None and move.domain == domain and not move.is_closing

    def is_closing(self, group: Group) -> bool:
        """Return whether a group is one of those that a move ends."""
        member = next(iter(group.members.values()))
        move = self._move(member.service)
        return (
            move is not None
            and move.is_closing
            and (move.domain, move.giving) == (member.fabric_domain, group.model)
        )

    def drain_timeout(self, service: str) -> float:
        """Return how long requests at a closed group may take: as long as any route allows."""
        configuration = self._view.configuration
        timeouts = [
            route.timeout
            for route in (configuration.routes if configuration is not None else ())
            if any(split.service == service for split in route.splits)
        ]
        return max(timeouts, default=DRAIN_TIMEOUT_SECONDS)

    def advance(self, situation: Situation) -> None:
        """Observe the demand of a service and take the next step of its move, or begin one."""
        service, state = situation.service, self._state(situation.service)
        state.demand.observe(situation.usage(self._load_table.request_count))
        current, move = self._placements.current(service), self._move(service)
        if current is not None and self._view.is_settled:
            self._log_unknown(situation, state, current)
        if state.is_writing or self._clock() < state.write_at:
            return
        if current is not None and self._placements.is_lost(service):
            era = self._view.era.newest
            self._write(
                service,
                current.domains,
                current.move,
                lambda: events.PLACEMENT_REWRITTEN.log(service=service, era=era),
            )
        elif current is None or move is None:
            self._begin(situation, state, current)
        elif move.is_closing:
            self._close(situation, state, current, move)
        else:
            self._load(situation, state, current, move)

    def _state(self, service: str) -> _ServiceState:
        if service not in self._states:
            self._states[service] = _ServiceState(Demand(self._clock))
        return self._states[service]

    def _log_unknown(self, situation: Situation, state: _ServiceState, current: Placement) -> None:
        """Log once which domains and models of a placement are ignored."""
        models = {model.name for model in situation.engine.models}
        unknown = ({*current.domains} - {*situation.views}) | ({*current.domains.values()} - models)
        ignored = current.version, frozenset(unknown)
        if unknown and state.ignored != ignored:
            events.PLACEMENT_IGNORED.log(
                service=situation.service, cause="not known", names=sorted(unknown)
            )
        state.ignored = ignored

    def _begin(self, situation: Situation, state: _ServiceState, current: Placement | None) -> None:
        domains = situation.placed_domains()
        if domains is None or not self._view.is_settled or self._clock() < state.begin_at:
            return
        demands = state.demand.by_model()
        move = placement.choose_move(domains, demands, situation.engine)
        if move is not None:
            models = dict(current.domains) if current is not None else {}
            models |= {domain.name: domain.model for domain in domains}
            fields = self._fields(situation.service, move, demands)
            self._write(
                situation.service, models, move, lambda: events.DOMAIN_MOVE_BEGUN.log(**fields)
            )

    def _load(
        self, situation: Situation, state: _ServiceState, current: Placement, move: Move
    ) -> None:
        """Close the groups once the hosts hold the new model, or abandon the move."""
        now, demands = self._clock(), state.demand.by_model()
        if state.loading_since is None:
            state.loading_since = now
        seconds = now - state.loading_since
        receiving = demands.get(move.receiving)
        if receiving is not None and receiving.relieved_seconds >= ABANDON_SECONDS:
            self._abandon(situation.service, current, move, "need is over")
            return
        in_domain = len(situation.open_groups(move))
        can_close = situation.closable(move, demands.get(move.giving)) == in_domain
        if can_close and situation.have_loaded(move, seconds):
            fields = self._fields(situation.service, move, demands)
            closing = dataclasses.replace(move, is_closing=True)
            self._write(
                situation.service,
                current.domains,
                closing,
                lambda: events.DOMAIN_MOVE_CLOSING.log(**fields),
            )
        elif seconds >= situation.load_timeout(move) + ABANDON_SECONDS:
            self._abandon(situation.service, current, move, "no way to finish")

    def _abandon(self, service: str, current: Placement, move: Move, cause: str) -> None:
        fields = self._fields(service, move, self._state(service).demand.by_model())
        self._write(
            service,
            current.domains,
            None,
            lambda: events.DOMAIN_MOVE_ABANDONED.log(cause=cause, **fields),
        )

    def _close(
        self, situation: Situation, state: _ServiceState, current: Placement, move: Move
    ) -> None:
        """End the former groups of a domain; the move is finished when none is left."""
        now, demands = self._clock(), state.demand.by_model()
        if self._is_emptied(situation.service, move):
            domains = {**current.domains, move.domain: move.receiving}
            fields = self._fields(situation.service, move, demands)
            self._write(
                situation.service, domains, None, lambda: events.DOMAIN_MOVE_FINISHED.log(**fields)
            )
            return
        groups = situation.open_groups(move)
        count = situation.closable(move, demands.get(move.giving))
        if count or not groups:
            state.unable_since = None
        elif state.unable_since is None:
            state.unable_since = now
        elif now - state.unable_since >= ABANDON_SECONDS:
            # The hosts hold the new model, so the move has to end; one group after the other.
            state.unable_since, count = now, 1
        timeout = self.drain_timeout(situation.service)
        for group in groups[:count]:
            self._ending.end(group.id, EndReason.DOMAIN_MOVES, group.members, timeout)

    def _is_emptied(self, service: str, move: Move) -> bool:
        """Return whether no group of the giving model in the domain may answer any more."""
        forming = self._forming_state.under_way.values()
        if any((plan.domain, plan.model.name) == (move.domain, move.giving) for plan in forming):
            return False
        return self._view.is_settled and not any(
            group.model == move.giving
            and not self._records.is_over(group.id)
            and any(
                (member.service, member.fabric_domain) == (service, move.domain)
                for member in group.members.values()
            )
            for group in self._view.roster.groups.values()
        )

    def loads(self, situation: Situation) -> list[LoadPlan]:
        """Return the loads that moves need, beside those of :mod:`.formation`."""
        move = self._move(situation.service)
        result = []
        for domain, name in self.placed(situation.service).items():
            for_move = self.is_loading(situation.service, domain)
            model = situation.engine.model(move.receiving if move and for_move else name)
            if model is not None:
                result += situation.loads(domain, model, for_move=for_move)
        return result

    def _write(
        self,
        service: str,
        domains: t.Mapping[str, str],
        move: Move | None,
        on_written: t.Callable[[], None],
    ) -> None:
        """Write the placement."""
        self._state(service).is_writing = True
        self._start(self._run_write(service, domains, move, on_written))

    async def _run_write(
        self,
        service: str,
        domains: t.Mapping[str, str],
        move: Move | None,
        on_written: t.Callable[[], None],
    ) -> None:
        state = self._state(service)
        try:
            is_written = await self._placements.write(service, domains, move)
        except StoreError:
            # The outcome is unknown; the next plan goes by what the view shows.
            is_written = False
        finally:
            state.is_writing = False
        if not is_written:
            state.write_at = self._clock() + WRITE_RETRY_SECONDS
            return
        state.loading_since = state.unable_since = None
        if move is None:
            state.begin_at = self._clock() + SETTLE_SECONDS
        on_written()

    def _fields(
        self, service: str, move: Move, demands: t.Mapping[str, ModelDemand]
    ) -> dict[str, t.Any]:
        """Return the fields of a move's log events; the age is that of the oldest load report."""
        receiving, giving = demands.get(move.receiving), demands.get(move.giving)
        ages = [found.age for found in (receiving, giving) if found is not None]
        reports = self._load_table.report_age()
        return {
            "service": service,
            "domain": move.domain,
            "giving": move.giving,
            "receiving": move.receiving,
            "giving_utilization": round(giving.utilization, 3) if giving else None,
            "receiving_utilization": round(receiving.utilization, 3) if receiving else None,
            "need_seconds": round(receiving.need_seconds, 1) if receiving else None,
            "age": round(max(ages) + reports, 3) if ages else None,
        }
