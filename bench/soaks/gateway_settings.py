"""Settings files of the daemons of the gateway's soaks.

Owns: nothing; it writes one file a daemon.
Relies on: the format of the users' settings.
"""

import dataclasses
import pathlib
import typing as t

from .gateway_daemons import Daemon
from .proxy import Proxy

# Listeners for callers, for readiness probes, and two for other daemons.
PORTS_PER_DAEMON = 4
# Limits of each process: less than any instance has.
MAX_DESCRIPTORS = 400
MEMORY_MB = 128


@dataclasses.dataclass(frozen=True)
class DaemonSettings:
    """What the settings of one daemon depend on.

    :param directory: directory of the settings file.
    :param number: number of the daemon, which its name and its failure domain contain.
    :param store: address of the store.
    :param ports: :data:`PORTS_PER_DAEMON` free ports.
    :param bounds: values of the table of bounds, by name.
    """

    directory: pathlib.Path
    number: int
    store: str
    ports: t.Sequence[int]
    bounds: t.Mapping[str, float]


async def create_daemon(settings: DaemonSettings, program: pathlib.Path) -> Daemon:
    """Write the settings of a daemon, and start the proxy between it and the store.

    :param program: the program of its first start.
    """
    number = settings.number
    proxy = Proxy(settings.store)
    callers, readiness, peers, tunnels = settings.ports
    path = settings.directory / f"edge-{number}.toml"
    # Every other daemon keeps connections and bounds bodies, as in a rollout.
    contracts = "[]" if number % 2 else '["pressure"]'
    bounds = "\n".join(f"{name} = {value}" for name, value in settings.bounds.items())
    path.write_text(
        f"""
contracts = {contracts}
node_name = "edge-{number}"
ip = "127.0.0.1"
zone = "zone-{"ab"[number % 2]}"
internal_ports = [{peers}, {tunnels}]
[listen]
frontend = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
[limits]
memory_mb = {MEMORY_MB}
max_fds = {MAX_DESCRIPTORS}
[bounds]
revoke_fail_closed = true
{bounds}
[platform]
address = "{await proxy.start()}"
"""
    )
    return Daemon(
        f"edge-{number}",
        path,
        f"127.0.0.1:{callers}",
        f"127.0.0.1:{readiness}",
        proxy,
        program,
    )
