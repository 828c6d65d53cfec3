"""The HTTP application for operators.

Owns: nothing; it reads this daemon's services and queries the other daemons.
Relies on: :mod:`.operator_access` for authorisation; :mod:`.operator_plans` for changes.
"""

import asyncio
import collections
import dataclasses
import json
import time
import typing as t

from aiohttp import web

from thorncleat_core import jsonc
from thorncleat_core.daemon.burn import BurnCounts
from thorncleat_core.daemon.burn import Subject
from thorncleat_core.daemon.configuration import DEFAULT_AVAILABILITY
from thorncleat_core.daemon.settings import BootstrapOperator

from .config import ConfigManager
from .dispatch import Dispatcher
from .domains import DomainManager
from .exceptions import PeerError
from .gossip import Gossip
from .holder import ShardHolder
from .metrics import Metrics
from .operator_access import ActingOperator
from .operator_access import OperatorAccess
from .operator_access import problem
from .operator_plans import OperatorPlans
from .peers import ZmqPeers
from .ports import InstanceList
from .recent import RecentRequests

PREFIX = "/operators/v1"
MAX_CONCURRENT_QUERIES = 32
GATHER_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass
class OperatorServices:
    """The daemon's services that operators can inspect."""

    me: str
    config: ConfigManager
    gossip: Gossip
    holder: ShardHolder
    dispatcher: Dispatcher
    metrics: Metrics
    recent: RecentRequests
    peers: ZmqPeers
    instances: InstanceList
    store_reachable: t.Callable[[], bool]
    load_seconds: float


class Operators:
    """Handles the operators' requests.

    :param bootstrap: operators from the settings, all with the right to change.
    """

    def __init__(
        self, services: OperatorServices, bootstrap: t.Sequence[BootstrapOperator]
    ) -> None:
        self._services = services
        self._access = OperatorAccess(lambda: services.config.current.configuration, bootstrap)
        self._plans = OperatorPlans(
            services.config, services.gossip, services.instances, services.load_seconds
        )
        services.peers.handle("burn", self._on_burn)
        services.peers.handle("explain", self._on_explain)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=2 * jsonc.MAX_DOCUMENT_BYTES)
        require_right = self._access.require_right
        app.router.add_post(f"{PREFIX}/plans", require_right("change", self._plans.plan))
        app.router.add_post(f"{PREFIX}/confirm", require_right("change", self._plans.confirm))
        app.router.add_get(f"{PREFIX}/status", require_right("read", self._status))
        app.router.add_get(f"{PREFIX}/groups", require_right("read", self._groups))
        app.router.add_get(f"{PREFIX}/explain/{{name}}", require_right("read", self._explain))
        app.router.add_get(f"{PREFIX}/burn", require_right("read", self._burn))
        return app

    # Status

    async def _status(self, request: web.Request, operator: ActingOperator) -> web.Response:
        services = self._services
        configuration = services.config.current.configuration
        body = {
            "daemon": services.me,
            "revision": services.config.journal.head.revision,
            "loaded": services.config.is_loaded,
            "store_reachable": services.store_reachable(),
            "daemons": list(services.gossip.members.alive),
            "listed_daemons": len(services.gossip.members.addresses),
            "shards_held": sorted(services.holder.held),
            "workspaces": sorted(configuration.workspaces),
            "intents": sorted(configuration.intents),
            "services": sorted(configuration.services),
            "draining": sorted(configuration.draining),
            "waiting": services.dispatcher.waiting,
            "groups": self._count_group_states(),
        }
        return web.json_response(body)

    def _count_group_states(self) -> dict[str, int]:
        counts: collections.Counter[str] = collections.Counter()
        for row in self._group_rows():
            counts[row["state"]] += 1
        return dict(counts)

    def _group_rows(self) -> list[dict[str, t.Any]]:
        state = self._services.config.current
        rows = []
        for group, placed in sorted(state.placements.items()):
            record = self._services.gossip.directory.get(f"group/{group}")
            body = record.body if record and not record.body.get("gone") else None
            rows.append(
                {
                    "group": group,
                    "intent": placed.intent,
                    "domain": placed.domain,
                    "state": _group_state(body),
                    "model": body["model"] if body else "",
                    "version": body["version"] if body else "",
                    "generation": body["generation"] if body else 0,
                    "members": list(body["members"]) if body else list(placed.members),
                }
            )
        return rows

    async def _groups(self, request: web.Request, operator: ActingOperator) -> web.Response:
        return web.json_response({"groups": self._group_rows()})

    async def _explain(self, request: web.Request, operator: ActingOperator) -> web.Response:
        name = request.match_info["name"]
        for row in self._group_rows():
            if row["group"] == name:
                return web.json_response({"kind": "group", **self._explained(row)})
        answers = await self._gather("explain", name)
        records = [record for record in answers.values() if record]
        if not records:
            return problem(404, f"no group and no recent request {name!r}")
        return web.json_response({"kind": "request", **records[0]})

    def _explained(self, row: dict[str, t.Any]) -> dict[str, t.Any]:
        shard = self._services.holder.shards.shard_of(row["domain"])
        manager = self._services.holder.managers.get(row["domain"])
        return {
            **row,
            "members": [_member(member, manager) for member in row["members"]],
            "shard": shard,
            "holder": self._services.holder.shards.holder_of(shard),
            "candidates": self._services.holder.shards.candidates(shard),
        }

    async def _on_explain(self, sender: str, body: t.Any) -> t.Any:
        record = self._services.recent.get(str(body))
        return dataclasses.asdict(record) if record else None

    # Service levels

    async def _on_burn(self, sender: str, body: t.Any) -> t.Any:
        managers = self._services.holder.managers.values()
        down = {
            group: seconds
            for manager in managers
            for group, seconds in manager.downtime.group_seconds.items()
        }
        return {
            "counts": self._services.metrics.burn.export(),
            "down_seconds": down,
            "stranded_seconds": sum(manager.downtime.stranded_seconds for manager in managers),
        }

    async def _burn(self, request: web.Request, operator: ActingOperator) -> web.Response:
        gathered = await self._gather("burn", None)
        merged = BurnCounts()
        down: collections.Counter[str] = collections.Counter()
        stranded = 0.0
        for figures in gathered.values():
            merged.merge(figures["counts"])
            for group, seconds in figures["down_seconds"].items():
                down[group] += seconds
            stranded += figures["stranded_seconds"]
        rows = merged.rows(self._objective, time.time())
        body = {
            "daemons": sorted(gathered),
            "silent": sorted(set(self._services.gossip.members.alive) - set(gathered)),
            "rows": [json.loads(json.dumps(dataclasses.asdict(row))) for row in rows],
            "down_seconds": dict(down),
            "stranded_accelerator_seconds": stranded,
        }
        return web.json_response(body)

    def _objective(self, subject: Subject) -> float:
        workspace = self._services.config.current.configuration.workspaces.get(subject.workspace)
        return workspace.availability if workspace else DEFAULT_AVAILABILITY

    async def _gather(self, kind: str, body: t.Any) -> dict[str, t.Any]:
        """Query all daemons and return the received answers by daemon."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
        answers: dict[str, t.Any] = {}

        async def ask(peer: str) -> None:
            async with semaphore:
                try:
                    answers[peer] = await self._services.peers.ask(
                        peer, kind, body, GATHER_TIMEOUT_SECONDS
                    )
                except PeerError:
                    # The report lists the daemons without an answer.
                    return

        await asyncio.gather(*(ask(peer) for peer in self._services.gossip.members.alive))
        return answers


def _group_state(body: t.Mapping[str, t.Any] | None) -> str:
    if body is None:
        return "starting"
    return "open" if body["open"] else "closed"


def _member(name: str, manager: DomainManager | None) -> dict[str, str]:
    """Return the known state of a member; only its domain's manager knows more than the id."""
    if manager is None:
        return {"id": name}
    listed, report = manager.listed.get(name), manager.reports.get(name)
    summary = {"id": name, "listed": str(listed.state) if listed else "no"}
    if report is None:
        return {**summary, "reports": "nothing"}
    follows = f"{report.group or 'no group'} at {report.generation}"
    return {**summary, "reports": follows if report.ready else f"{follows}, loading"}
