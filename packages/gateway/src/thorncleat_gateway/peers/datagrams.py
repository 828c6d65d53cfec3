"""Datagrams between daemons: soft state that the next datagram replaces.

A lost datagram costs a little accuracy and nothing else, so nothing is acknowledged. A datagram
whose sender is not registered at the address that it came from is rejected.

Owns: the socket, and the count of rejected datagrams.
Relies on: the addresses of the registered daemons (:mod:`..store.registration`).
"""

import asyncio
import dataclasses
import math
import typing as t

import mode
import msgpack

from .. import events
from ..settings import GatewaySettings
from ..store.roster import GroupId
from . import domain_loads

# the first field of each datagram; :func:`decode` knows this one only
FORMAT = 1
# times are told in these, as whole numbers
MILLISECONDS = 1000
# between two reports of a daemon, while there are few daemons
MIN_REPORT_INTERVAL_SECONDS = 0.1
# daemons up to which that interval holds, so that each receives at most 160 reports a second
MAX_DAEMONS_AT_MIN_INTERVAL = 16
# daemons as which each neighbour counts where reports go to neighbours only, so that each daemon
# receives at most 80 reports a second
DOMAIN_PEER_WEIGHT = 2


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What a daemon has under way, and whom it has heard from lately.

    :param counts: requests by endpoint.
    :param heard: endpoints that answered lately (:data:`.load_reporter.HEARD_SECONDS`).
    """

    counts: t.Mapping[str, int]
    heard: t.Sequence[str]


@dataclasses.dataclass(frozen=True)
class DomainLoad:
    """What the daemons of a failure domain have under way together.

    :param counts: requests by endpoint.
    """

    failure_domain: str
    counts: t.Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """A group's leader is silent.

    :param fault: the member that is at fault as far as it is known, or an empty string.
    """

    leader: str
    group: GroupId
    fault: str = ""


@dataclasses.dataclass(frozen=True)
class Probe:
    """The controller wants to know who has requests at an endpoint, and whether anyone hears it.

    Each daemon reports at once, and again if the endpoint answers it.
    """

    endpoint_id: str


@dataclasses.dataclass(frozen=True)
class GroupEnded:
    """The controller is ending a group."""

    group: GroupId


@dataclasses.dataclass(frozen=True)
class ReportedRequest:
    """A request that was under way at a crash.

    :param fingerprint: of what it asked for, see :mod:`..requests.fingerprint`.
    :param points: what the crash counts against it, see :mod:`..requests.quarantine`.
    :param ran: seconds from the head of its answer to the crash.
    """

    fingerprint: bytes
    points: int
    ran: float


@dataclasses.dataclass(frozen=True)
class ReportedCrash:
    """An endpoint's life that ended by a crash.

    :param born: as in :class:`~..store.roster.Life`.
    :param age: seconds since the crash.
    """

    endpoint_id: str
    born: int | None
    age: float
    requests: t.Sequence[ReportedRequest]


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """Endpoints have crashed, with the requests that were under way there."""

    crashes: t.Sequence[ReportedCrash]


@dataclasses.dataclass(frozen=True)
class CrashWithdrawal:
    """An endpoint has not crashed, since it lived later; or a request is no cause of crashes.

    :param endpoint_id: an empty string if it tells of a request.
    :param fingerprint: of a request that was served; no bytes if it tells of an endpoint.
    :param age: seconds since the endpoint lived, or the request was served.
    """

    endpoint_id: str
    born: int | None
    fingerprint: bytes
    age: float


@dataclasses.dataclass(frozen=True)
class ReportedLimit:
    """What an endpoint has said of the requests that it takes from all daemons together.

    :param born: as in :class:`~..store.roster.Life`.
    :param limit: requests a second; None if it names none any more.
    :param sent_age: seconds since the request was sent whose answer says so.
    :param heard_age: seconds since that answer came.
    """

    endpoint_id: str
    born: int | None
    limit: float | None
    sent_age: float
    heard_age: float


@dataclasses.dataclass(frozen=True)
class LimitReport:
    """Endpoints have named limits, or name none any more."""

    limits: t.Sequence[ReportedLimit]


Message = (
    LoadReport
    | DomainLoad
    | Suspicion
    | Probe
    | GroupEnded
    | CrashReport
    | CrashWithdrawal
    | LimitReport
)


class Datagram(t.NamedTuple):
    """A message with the id of the daemon that says it sent it."""

    sender: str
    message: Message


Handler = t.Callable[[str, Message], None]


def encode(sender: str, message: Message) -> bytes:
    """Return a message as a datagram."""
    match message:
        case LoadReport(counts, heard):
            content: list[t.Any] = ["load", dict(counts), list(heard)]
        case DomainLoad(failure_domain, counts):
            content = ["domain", failure_domain, dict(counts)]
        case Suspicion(leader, group, fault):
            content = ["suspect", leader, group.epoch, group.name, fault]
        case Probe(endpoint_id):
            content = ["probe", endpoint_id]
        case GroupEnded(group):
            content = ["ended", group.epoch, group.name]
        case CrashReport(crashes):
            content = ["crash", [_crash_content(crash) for crash in crashes]]
        case CrashWithdrawal(endpoint_id, born, fingerprint, age):
            content = ["no crash", endpoint_id, born, fingerprint, _milliseconds(age)]
        case LimitReport(limits):
            content = ["limits", [_limit_content(limit) for limit in limits]]
    packed: bytes = msgpack.packb([FORMAT, sender, *content])
    return packed


def decode(data: bytes) -> Datagram | None:
    """Return a datagram; None if the bytes are none, or one of another format."""
    try:
        match msgpack.unpackb(data):
            case [1, str(sender), "load", dict(counts), list(heard)]:
                return Datagram(sender, LoadReport(_numbers(counts), heard))
            case [1, str(sender), "domain", str(failure_domain), dict(counts)]:
                return Datagram(sender, DomainLoad(failure_domain, _numbers(counts)))
            case [1, str(sender), "suspect", str(leader), int(epoch), str(name), str(fault)]:
                return Datagram(sender, Suspicion(leader, GroupId(epoch, name), fault))
            case [1, str(sender), "probe", str(endpoint_id)]:
                return Datagram(sender, Probe(endpoint_id))
            case [1, str(sender), "ended", int(epoch), str(name)]:
                return Datagram(sender, GroupEnded(GroupId(epoch, name)))
            case [1, str(sender), "crash", list(crashes)]:
                return Datagram(sender, CrashReport([_crash(*crash) for crash in crashes]))
            case [1, str(sender), "no crash", str(endpoint_id), born, bytes(digest), int(age)]:
                seconds = _natural(age) / MILLISECONDS
                return Datagram(sender, CrashWithdrawal(endpoint_id, _born(born), digest, seconds))
            case [1, str(sender), "limits", list(limits)]:
                return Datagram(sender, LimitReport([_limit(*limit) for limit in limits]))
    except (ValueError, TypeError, msgpack.UnpackException):
        # any process may send anything here; the channel counts what it rejects
        pass
    return None


def _numbers(counts: t.Mapping[t.Any, t.Any]) -> dict[str, int]:
    return {str(endpoint): int(count) for endpoint, count in counts.items()}


def _milliseconds(seconds: float) -> int:
    return round(seconds * MILLISECONDS)


def _crash_content(crash: ReportedCrash) -> list[t.Any]:
    requests = [
        [request.fingerprint, request.points, _milliseconds(request.ran)]
        for request in crash.requests
    ]
    return [crash.endpoint_id, crash.born, _milliseconds(crash.age), requests]


def _crash(endpoint_id: t.Any, born: t.Any, age: t.Any, requests: t.Any) -> ReportedCrash:
    """Return a crash from its plain form.

    :raises TypeError, ValueError: if it has another form.
    """
    found = [
        ReportedRequest(_digest(digest), _natural(points), _natural(ran) / MILLISECONDS)
        for digest, points, ran in requests
    ]
    return ReportedCrash(str(endpoint_id), _born(born), _natural(age) / MILLISECONDS, found)


def _limit_content(limit: ReportedLimit) -> list[t.Any]:
    ages = [_milliseconds(limit.sent_age), _milliseconds(limit.heard_age)]
    return [limit.endpoint_id, limit.born, limit.limit, *ages]


def _limit(
    endpoint_id: t.Any, born: t.Any, limit: t.Any, sent_age: t.Any, heard_age: t.Any
) -> ReportedLimit:
    """Return a limit from its plain form.

    :raises TypeError, ValueError: if it has another form.
    """
    sent, heard = _natural(sent_age) / MILLISECONDS, _natural(heard_age) / MILLISECONDS
    return ReportedLimit(str(endpoint_id), _born(born), _rate(limit), sent, heard)


def _rate(value: t.Any) -> float | None:
    if value is None:
        return None
    rate = float(value)
    if not 0 <= rate < math.inf:
        raise ValueError(f"{value!r} is no rate")
    return rate


def _natural(value: t.Any) -> int:
    number = int(value)
    if number < 0:
        raise ValueError(f"{value!r} is negative")
    return number


def _born(value: t.Any) -> int | None:
    return None if value is None else int(value)


def _digest(value: t.Any) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError(f"{value!r} is no digest")
    return value


def report_interval(daemons: int) -> float:
    """Return the seconds between two reports of each of a number of daemons.

    It grows with their number, so that each receives as many reports a second however many
    there are.
    """
    return MIN_REPORT_INTERVAL_SECONDS * max(1.0, daemons / MAX_DAEMONS_AT_MIN_INTERVAL)


class PeerChannel(mode.Service):
    """Sends to the other daemons, and passes on what they send.

    :param addresses: returns the address of each registered daemon.
    :param neighbours: returns the other registered daemons of this one's failure domain.
    :param id: of this daemon.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        addresses: t.Callable[[], t.Mapping[str, tuple[str, int]]],
        domain_peers: t.Callable[[], frozenset[str]],
    ) -> None:
        super().__init__()
        self.id = settings.id
        self._listen = settings.peers
        self._addresses = addresses
        self._neighbours = domain_peers
        self._handlers: list[Handler] = []
        self._transport: asyncio.DatagramTransport | None = None
        self.rejected_count = 0

    @property
    def daemon_count(self) -> int:
        """The number of daemons that are registered, at least 1 for this one."""
        return max(1, len(self._addresses()))

    @property
    def other_daemons(self) -> set[str]:
        """The ids of the other registered daemons."""
        return set(self._addresses()) - {self.id}

    @property
    def is_full_mesh(self) -> bool:
        """Whether each daemon reports its load to all others."""
        return domain_loads.is_full_mesh(self.daemon_count)

    @property
    def domain_peers(self) -> frozenset[str]:
        """The ids of the other daemons of this one's failure domain."""
        return self._neighbours()

    def report_interval_seconds(self) -> float:
        """Return the seconds between two reports of a daemon."""
        if self.is_full_mesh:
            return report_interval(self.daemon_count)
        return report_interval(DOMAIN_PEER_WEIGHT * (1 + len(self._neighbours())))

    async def on_start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        receiver = _Receiver(self._received)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: receiver, local_addr=self._listen
        )

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._transport:
            self._transport.close()

    def on_message(self, handler: Handler) -> None:
        """Call a function for each message."""
        self._handlers.append(handler)

    def broadcast(self, message: Message) -> None:
        """Send a message to all other daemons."""
        others = (address for daemon, address in self._addresses().items() if daemon != self.id)
        self._send(message, others)

    def broadcast_to_domain(self, message: Message) -> None:
        """Send a message to the other daemons of this one's failure domain."""
        known = self._addresses()
        self._send(message, (known[name] for name in self._neighbours()))

    def broadcast_to_other_domains(self, message: Message) -> None:
        """Send a message to all daemons of other failure domains."""
        near = self._neighbours() | {self.id}
        far = (address for daemon, address in self._addresses().items() if daemon not in near)
        self._send(message, far)

    def send(self, daemon: str, message: Message) -> None:
        """Send a message to one daemon, if it is registered."""
        address = self._addresses().get(daemon)
        if address is not None:
            self._send(message, [address])

    def _send(self, message: Message, addresses: t.Iterable[tuple[str, int]]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = encode(self.id, message)
        for address in addresses:
            self._transport.sendto(data, address)

    def _received(self, data: bytes, source: tuple[str, int]) -> None:
        datagram = decode(data)
        if datagram is None or self._addresses().get(datagram.sender) != source:
            self.rejected_count += 1
            if self.rejected_count.bit_count() == 1:
                # the first, and then each time the number has doubled
                events.PEER_REJECTED.log(
                    source=f"{source[0]}:{source[1]}", count=self.rejected_count
                )
            return
        for handler in self._handlers:
            handler(datagram.sender, datagram.message)


class _Receiver(asyncio.DatagramProtocol):
    """Hands each datagram with its source's address to a function."""

    def __init__(self, received: t.Callable[[bytes, tuple[str, int]], None]) -> None:
        self._received = received

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._received(data, (addr[0], addr[1]))
