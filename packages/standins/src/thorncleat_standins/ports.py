"""Free ports of the loopback, for programs that have to know their address before they listen.

Owns: nothing.
Relies on: nobody else's taking such a port in the meantime, see :data:`PORTS`.
"""

import contextlib
import random
import socket

# below those that the system gives to outgoing connections and to whoever asks for any port: one of
# these could be taken before its program listens, or while it is down
PORTS = (10_000, 32_000)


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    found: set[int] = set()
    while len(found) < count:
        port = random.SystemRandom().randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            found.add(port)
    return list(found)


def free_port() -> int:
    """Return a port that is free now."""
    return free_ports(1)[0]
