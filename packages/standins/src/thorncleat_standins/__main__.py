"""Runs a stand-in as a process: ``python -m thorncleat_standins store|engine|service``.

Owns: the stand-ins that it serves.
Relies on: SIGTERM or SIGINT to stop.
"""

import fire

from . import engine
from . import service
from . import store
from .served import Served
from .served import run


class Commands:
    """Commands that serve a stand-in and print one JSON line with its addresses."""

    def store(self, port: int = 0, writes: float = store.MAX_WRITES_PER_SECOND) -> None:
        """Serve the platform's store and list of instances."""

        async def start() -> list[Served]:
            return [await store.serve(port=port, writes=writes)]

        run(start)

    def engine(
        self, instances: str, token_seconds: float = 0.01, load_seconds: float = 0.2
    ) -> None:
        """Serve an engine for each instance id of a comma-separated list."""
        names = instances if isinstance(instances, tuple | list) else str(instances).split(",")

        async def start() -> list[Served]:
            behaviour = engine.Behaviour(token_seconds=token_seconds, load_seconds=load_seconds)
            engines = [engine.Engine(str(name), behaviour) for name in names]
            return [await engine.serve(instance) for instance in engines]

        run(start)

    def service(self) -> None:
        """Serve a plain service."""

        async def start() -> list[Served]:
            return [await service.serve(service.Service())]

        run(start)


if __name__ == "__main__":
    fire.Fire(Commands)
