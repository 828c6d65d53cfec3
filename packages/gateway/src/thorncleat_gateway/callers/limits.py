"""How much of this process all callers' connections together may take.

The rest is for what serves them: the ways to endpoints, to the store and to other daemons.

Owns: no state.
Relies on: the settings for the memory and the descriptors of the process.
"""

import dataclasses
import resource

# Memory and descriptors of a process that doesn't know its own.
DEFAULT_MEMORY_BYTES = 256 << 20
DEFAULT_DESCRIPTORS = 1_024
# Descriptors for files, which the platform keeps from sockets.
FILE_DESCRIPTORS = 200
# Share of the other descriptors for callers. Each request also needs one to an endpoint.
CALLER_SHARE = 0.4
# The same for each of the other listeners, and the least that it gets.
SERVICE_SHARE = 0.02
MIN_SERVICE_CONNECTIONS = 8
MIN_CALLER_CONNECTIONS = 16
# Part of the memory for heads, for bodies whose requests have to wait, and for unread answers.
PENDING_MEMORY_FRACTION = 0.0625
# Enough for the largest heads of a few callers.
MIN_PENDING_BYTES = 4 << 20


@dataclasses.dataclass(frozen=True)
class ProcessLimits:
    """The limits of this process.

    :param memory: bytes.
    :param descriptors: how many may be open at once.
    """

    memory: int = DEFAULT_MEMORY_BYTES
    descriptors: int = DEFAULT_DESCRIPTORS

    @property
    def caller_connections(self) -> int:
        """How many connections callers may have open."""
        return max(MIN_CALLER_CONNECTIONS, int(self._sockets * CALLER_SHARE))

    @property
    def service_connections(self) -> int:
        """How many connections a listener for readiness or metrics may have open."""
        return max(MIN_SERVICE_CONNECTIONS, int(self._sockets * SERVICE_SHARE))

    @property
    def pending_bytes(self) -> int:
        """Memory of what callers have sent or not read, without the bodies of running requests."""
        return max(MIN_PENDING_BYTES, int(self.memory * PENDING_MEMORY_FRACTION))

    @property
    def _sockets(self) -> int:
        return max(0, self.descriptors - FILE_DESCRIPTORS)


def process_limits(memory: int | None, descriptors: int | None) -> ProcessLimits:
    """Return the limits of this process.

    :param memory: bytes by the settings; None if they don't say.
    :param descriptors: likewise; the limit of the operating system holds too.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    known = [limit for limit in (descriptors, allowed) if limit is not None and limit > 0]
    return ProcessLimits(
        memory or DEFAULT_MEMORY_BYTES, min(known) if known else DEFAULT_DESCRIPTORS
    )
