"""The operators' side: what the system is doing, over all daemons.

Owns: nothing; it reads the daemon's parts and asks the other daemons.
Relies on: :mod:`.operator_access` for who may ask; :mod:`.operator_plans` for changes.
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
# daemons asked at the same time
MAX_CONCURRENT_QUESTIONS = 32
# for each daemon's answer
GATHER_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass
class OperatorServices:
    """The daemon's parts that operators look at."""

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
    """Takes the operators' requests.

    :param bootstrap: operators from the settings, with the right to change.
    """

    def __init__(self, parts: OperatorServices, bootstrap: t.Sequence[BootstrapOperator]) -> None:
        self._parts = parts
        self._access = OperatorAccess(lambda: parts.config.current.configuration, bootstrap)
        self._plans = OperatorPlans(parts.config, parts.gossip, parts.instances, parts.load_seconds)
        parts.peers.handle("burn", self._on_burn)
        parts.peers.handle("explain", self._on_explain)

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

    # looking

    async def _status(self, request: web.Request, operator: ActingOperator) -> web.Response:
        parts = self._parts
        configuration = parts.config.current.configuration
        body = {
            "daemon": parts.me,
            "revision": parts.config.journal.head.revision,
            "loaded": parts.config.is_loaded,
            "store_reachable": parts.store_reachable(),
            "daemons": list(parts.gossip.members.alive),
            "listed_daemons": len(parts.gossip.members.addresses),
            "shards_held": sorted(parts.holder.held),
            "workspaces": sorted(configuration.workspaces),
            "intents": sorted(configuration.intents),
            "services": sorted(configuration.services),
            "draining": sorted(configuration.draining),
            "waiting": parts.dispatcher.waiting,
            "groups": self._counts(),
        }
        return web.json_response(body)

    def _counts(self) -> dict[str, int]:
        counts: collections.Counter[str] = collections.Counter()
        for row in self._group_rows():
            counts[row["state"]] += 1
        return dict(counts)

    def _group_rows(self) -> list[dict[str, t.Any]]:
        state = self._parts.config.current
        rows = []
        for group, placed in sorted(state.placements.items()):
            record = self._parts.gossip.directory.get(f"group/{group}")
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
        found = await self._gather("explain", name)
        records = [record for record in found.values() if record]
        if not records:
            return problem(404, f"no group and no recent request {name!r}")
        return web.json_response({"kind": "request", **records[0]})

    def _explained(self, row: dict[str, t.Any]) -> dict[str, t.Any]:
        shard = self._parts.holder.shards.shard_of(row["domain"])
        keeper = self._parts.holder.managers.get(row["domain"])
        return {
            **row,
            "members": [_member(member, keeper) for member in row["members"]],
            "shard": shard,
            "holder": self._parts.holder.shards.holder_of(shard),
            "candidates": self._parts.holder.shards.candidates(shard),
        }

    async def _on_explain(self, sender: str, body: t.Any) -> t.Any:
        found = self._parts.recent.get(str(body))
        return dataclasses.asdict(found) if found else None

    # service levels

    async def _on_burn(self, sender: str, body: t.Any) -> t.Any:
        managers = self._parts.holder.managers.values()
        down = {
            group: seconds
            for keeper in managers
            for group, seconds in keeper.downtime.group_seconds.items()
        }
        return {
            "counts": self._parts.metrics.burn.export(),
            "down_seconds": down,
            "stranded_seconds": sum(keeper.downtime.stranded_seconds for keeper in managers),
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
            "silent": sorted(set(self._parts.gossip.members.alive) - set(gathered)),
            "rows": [json.loads(json.dumps(dataclasses.asdict(row))) for row in rows],
            "down_seconds": dict(down),
            "stranded_accelerator_seconds": stranded,
        }
        return web.json_response(body)

    def _objective(self, subject: Subject) -> float:
        workspace = self._parts.config.current.configuration.workspaces.get(subject.workspace)
        return workspace.availability if workspace else DEFAULT_AVAILABILITY

    async def _gather(self, kind: str, body: t.Any) -> dict[str, t.Any]:
        """Ask all daemons and return the answers of those that gave one."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUESTIONS)
        answers: dict[str, t.Any] = {}

        async def ask(peer: str) -> None:
            async with semaphore:
                try:
                    answers[peer] = await self._parts.peers.ask(
                        peer, kind, body, GATHER_TIMEOUT_SECONDS
                    )
                except PeerError:
                    # the report names how many daemons answered
                    return

        await asyncio.gather(*(ask(peer) for peer in self._parts.gossip.members.alive))
        return answers


def _group_state(body: t.Mapping[str, t.Any] | None) -> str:
    if body is None:
        return "starting"
    return "open" if body["open"] else "closed"


def _member(name: str, keeper: DomainManager | None) -> dict[str, str]:
    """Return what this daemon knows of a member; only its holder knows more than the name."""
    if keeper is None:
        return {"id": name}
    listed, report = keeper.listed.get(name), keeper.reports.get(name)
    found = {"id": name, "listed": str(listed.state) if listed else "no"}
    if report is None:
        return {**found, "reports": "nothing"}
    follows = f"{report.group or 'no group'} at {report.generation}"
    return {**found, "reports": follows if report.ready else f"{follows}, loading"}
