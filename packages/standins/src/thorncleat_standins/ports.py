"""Finds free loopback ports for programs that must know their address before they listen.

Owns: nothing.
Relies on: no other process taking such a port in the meantime, see :data:`PORT_RANGE`.
"""

import contextlib
import random
import socket

# Below the system's ephemeral ports, which other connections could take while a program is down.
PORT_RANGE = (10_000, 32_000)


def free_ports(count: int) -> list[int]:
    """Return ports that are currently free."""
    ports: set[int] = set()
    while len(ports) < count:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            ports.add(port)
    return list(ports)


def free_port() -> int:
    """Return a port that is currently free."""
    return free_ports(1)[0]
