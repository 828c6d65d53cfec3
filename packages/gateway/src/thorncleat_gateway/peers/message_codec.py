"""Translates the messages between daemons to bytes and back.

Each message is a list: the version, the sender, the kind of the message and its fields. A kind is
never given other fields; a changed message gets a kind of its own, which earlier builds reject.

Owns: the encoder of each type of message and the decoder of each kind, which decorators register.
Relies on: :mod:`.messages` for the types.
"""

import dataclasses
import math
import typing as t

import msgpack

from thorncleat_core.values import MAX_INTEGER
from thorncleat_core.values import MAX_PORT

from ..store.roster import GroupId
from .messages import CrashReport
from .messages import CrashWithdrawal
from .messages import DomainLoad
from .messages import GroupEnded
from .messages import GroupKept
from .messages import LimitReport
from .messages import LoadReport
from .messages import Message
from .messages import OwedRetries
from .messages import Probe
from .messages import ProbeResult
from .messages import ReportedCrash
from .messages import ReportedLimit
from .messages import ReportedRequest
from .messages import RetryQuery
from .messages import RetryRecall
from .messages import RetryReport
from .messages import RetryUse
from .messages import Suspicion
from .messages import TunnelOffer
from .messages import TunnelQuery
from .messages import WorkspaceCounts
from .messages import WorkspaceLoad

# The first field of each datagram; :func:`decode` accepts this version only.
FORMAT_VERSION = 1
MILLISECONDS_PER_SECOND = 1000
# Greatest number of owed retries in a report, each of which takes memory at the receiver.
MAX_OWED_RETRIES = 1_000
# Greatest age; a float of as many seconds is still exact to a millisecond.
MAX_MILLISECONDS = 2**42

Fields = list[t.Any]
Encoder = t.Callable[[t.Any], Fields]
Decoder = t.Callable[[Fields], Message | None]

_encoders: dict[type, Encoder] = {}
_decoders: dict[str, Decoder] = {}


class Datagram(t.NamedTuple):
    """A message with the id of its claimed sender."""

    sender: str
    message: Message


def encode(sender: str, message: Message) -> bytes:
    """Return the bytes of a message."""
    content = _encoders[type(message)](message)
    packed: bytes = msgpack.packb([FORMAT_VERSION, sender, *content])
    return packed


def decode(data: bytes) -> Datagram | None:
    """Return a decoded datagram; None if the bytes are malformed or of another version."""
    try:
        content = msgpack.unpackb(data)
        match content:
            case [1, str(sender), str(kind), *fields] if kind in _decoders:
                message = _decoders[kind](fields)
                return None if message is None else Datagram(sender, message)
    except (ValueError, TypeError, OverflowError, msgpack.UnpackException):
        # Any process can send to this socket; the channel counts what it rejects.
        return None
    return None


def _encodes(message: type) -> t.Callable[[Encoder], Encoder]:
    """Register the encoder of a type of message; it returns the kind and the fields."""

    def register(encoder: Encoder) -> Encoder:
        _encoders[message] = encoder
        return encoder

    return register


def _decodes(kind: str) -> t.Callable[[Decoder], Decoder]:
    """Register the decoder of a kind.

    It returns None, or raises a :class:`TypeError`, :class:`ValueError` or :class:`OverflowError`,
    for malformed fields.
    """

    def register(decoder: Decoder) -> Decoder:
        _decoders[kind] = decoder
        return decoder

    return register


@_encodes(LoadReport)
def _encode_load(message: LoadReport) -> Fields:
    return ["load", dict(message.counts), list(message.heard)]


@_decodes("load")
def _decode_load(fields: Fields) -> Message | None:
    match fields:
        case [dict(counts), list(heard)]:
            return LoadReport(_parse_counts(counts), [str(endpoint) for endpoint in heard])
    return None


@_encodes(DomainLoad)
def _encode_domain(message: DomainLoad) -> Fields:
    return ["domain", message.failure_domain, dict(message.counts)]


@_decodes("domain")
def _decode_domain(fields: Fields) -> Message | None:
    match fields:
        case [str(failure_domain), dict(counts)]:
            return DomainLoad(failure_domain, _parse_counts(counts))
    return None


@_encodes(Suspicion)
def _encode_suspicion(message: Suspicion) -> Fields:
    group = message.group
    return ["suspect", message.leader, group.epoch, group.name, message.fault]


@_decodes("suspect")
def _decode_suspicion(fields: Fields) -> Message | None:
    match fields:
        case [str(leader), int(epoch), str(name), str(fault)]:
            return Suspicion(leader, GroupId(_parse_natural(epoch), name), fault)
    return None


@_encodes(Probe)
def _encode_probe(message: Probe) -> Fields:
    return ["probe", message.endpoint_id]


@_decodes("probe")
def _decode_probe(fields: Fields) -> Message | None:
    match fields:
        case [str(endpoint_id)]:
            return Probe(endpoint_id)
    return None


@_encodes(ProbeResult)
def _encode_probe_result(message: ProbeResult) -> Fields:
    return ["probed", message.endpoint_id, message.answered, message.reaches_others]


@_decodes("probed")
def _decode_probe_result(fields: Fields) -> Message | None:
    match fields:
        case [str(endpoint_id), bool(answered), bool(reaches_others)]:
            return ProbeResult(endpoint_id, answered, reaches_others)
    return None


@_encodes(GroupEnded)
def _encode_ended(message: GroupEnded) -> Fields:
    return ["ended", message.group.epoch, message.group.name]


@_decodes("ended")
def _decode_ended(fields: Fields) -> Message | None:
    match fields:
        case [int(epoch), str(name)]:
            return GroupEnded(GroupId(_parse_natural(epoch), name))
    return None


@_encodes(GroupKept)
def _encode_kept(message: GroupKept) -> Fields:
    return ["kept", message.group.epoch, message.group.name, message.leader]


@_decodes("kept")
def _decode_kept(fields: Fields) -> Message | None:
    match fields:
        case [int(epoch), str(name), str(leader)]:
            return GroupKept(GroupId(_parse_natural(epoch), name), leader)
    return None


@_encodes(CrashReport)
def _encode_crash(message: CrashReport) -> Fields:
    return ["crash", [_pack_crash(crash) for crash in message.crashes]]


@_decodes("crash")
def _decode_crash(fields: Fields) -> Message | None:
    match fields:
        case [list(crashes)]:
            return CrashReport([_parse_crash(*crash) for crash in crashes])
    return None


@_encodes(CrashWithdrawal)
def _encode_withdrawal(message: CrashWithdrawal) -> Fields:
    age = _to_milliseconds(message.age)
    return ["no crash", message.endpoint_id, message.born, message.fingerprint, age]


@_decodes("no crash")
def _decode_withdrawal(fields: Fields) -> Message | None:
    match fields:
        case [str(endpoint_id), born, bytes(digest), int(age)]:
            seconds = _parse_seconds(age)
            return CrashWithdrawal(endpoint_id, _parse_born(born), digest, seconds)
    return None


@_encodes(LimitReport)
def _encode_limits(message: LimitReport) -> Fields:
    return ["limits", [_pack_limit(limit) for limit in message.limits]]


@_decodes("limits")
def _decode_limits(fields: Fields) -> Message | None:
    match fields:
        case [list(limits)]:
            return LimitReport([_parse_limit(*limit) for limit in limits])
    return None


@_encodes(WorkspaceLoad)
def _encode_workspaces(message: WorkspaceLoad) -> Fields:
    loads = [[load.service, load.model, dict(load.counts)] for load in message.loads]
    return ["workspaces", message.failure_domain, loads]


@_decodes("workspaces")
def _decode_workspaces(fields: Fields) -> Message | None:
    match fields:
        case [str(failure_domain), list(loads)]:
            parsed = [_parse_workspace_counts(*load) for load in loads]
            return WorkspaceLoad(failure_domain, parsed)
    return None


@_encodes(RetryReport)
def _encode_retries(message: RetryReport) -> Fields:
    if message.owed:
        return ["owed retries", *_pack_retries(message), _pack_owed(message.owed)]
    return ["retries", *_pack_retries(message)]


@_decodes("retries")
def _decode_retries(fields: Fields) -> Message | None:
    return _parse_retries(*fields)


@_decodes("owed retries")
def _decode_owed_retries(fields: Fields) -> Message | None:
    return _parse_owed_retries(*fields)


@_encodes(RetryQuery)
def _encode_retry_query(_: RetryQuery) -> Fields:
    return ["ask retries"]


@_decodes("ask retries")
def _decode_retry_query(fields: Fields) -> Message | None:
    return None if fields else RetryQuery()


@_encodes(RetryRecall)
def _encode_retry_recall(message: RetryRecall) -> Fields:
    report, age = message.report, _to_milliseconds(message.age)
    if report.owed:
        fields = [*_pack_retries(report), _pack_owed(report.owed)]
        return ["recall owed retries", age, fields]
    return ["recall retries", age, _pack_retries(report)]


@_decodes("recall retries")
def _decode_retry_recall(fields: Fields) -> Message | None:
    match fields:
        case [int(age), list(report)]:
            seconds = _parse_seconds(age)
            return RetryRecall(seconds, _parse_retries(*report))
    return None


@_decodes("recall owed retries")
def _decode_owed_recall(fields: Fields) -> Message | None:
    match fields:
        case [int(age), list(report)]:
            seconds = _parse_seconds(age)
            return RetryRecall(seconds, _parse_owed_retries(*report))
    return None


@_encodes(TunnelQuery)
def _encode_tunnel_query(message: TunnelQuery) -> Fields:
    return ["ask tunnel", message.service]


@_decodes("ask tunnel")
def _decode_tunnel_query(fields: Fields) -> Message | None:
    match fields:
        case [str(service)]:
            return TunnelQuery(service)
    return None


@_encodes(TunnelOffer)
def _encode_tunnel_offer(message: TunnelOffer) -> Fields:
    return ["offer tunnel", message.service, message.port, message.room]


@_decodes("offer tunnel")
def _decode_tunnel_offer(fields: Fields) -> Message | None:
    match fields:
        case [str(service), int(port), int(room)] if 0 < port <= MAX_PORT:
            return TunnelOffer(service, port, _parse_natural(room))
    return None


def _parse_counts(counts: t.Mapping[t.Any, t.Any]) -> dict[str, int]:
    return {str(endpoint): _parse_natural(count) for endpoint, count in counts.items()}


def _parse_workspace_counts(service: t.Any, model: t.Any, counts: t.Any) -> WorkspaceCounts:
    """Return counts from their unpacked fields.

    :raises TypeError, ValueError: if a field has another type or value.
    """
    if not isinstance(counts, dict):
        raise TypeError(f"{counts!r} is not a map of counts")
    parsed = {str(workspace): _parse_natural(count) for workspace, count in counts.items()}
    return WorkspaceCounts(str(service), str(model), parsed)


def _pack_retries(report: RetryReport) -> Fields:
    uses = [[use.service, list(use.requests), list(use.retries)] for use in report.uses]
    return [report.is_complete, report.has_share, uses]


def _parse_retries(is_complete: t.Any, has_share: t.Any, uses: t.Any) -> RetryReport:
    """Return a report from its unpacked fields.

    :raises TypeError, ValueError: if a field has another type or value.
    """
    parsed = [
        RetryUse(
            str(service),
            [_parse_natural(count) for count in requests],
            [_parse_natural(count) for count in retries],
        )
        for service, requests, retries in uses
    ]
    return RetryReport(bool(is_complete), bool(has_share), parsed)


def _pack_owed(owed: t.Iterable[OwedRetries]) -> Fields:
    return [[one.service, one.endpoint_id, one.born, one.count] for one in owed]


def _parse_owed_retries(
    is_complete: t.Any, has_share: t.Any, uses: t.Any, owed: t.Any
) -> RetryReport:
    """Return a report with retries that may still arrive, from its unpacked fields.

    :raises TypeError, ValueError: if a field has another type or value.
    """
    parsed = [
        OwedRetries(
            str(service),
            str(endpoint_id),
            None if born is None else _parse_natural(born),
            _parse_natural(count),
        )
        for service, endpoint_id, born, count in owed
    ]
    if sum(one.count for one in parsed) > MAX_OWED_RETRIES:
        raise ValueError(f"more than {MAX_OWED_RETRIES} owed retries")
    report = _parse_retries(is_complete, has_share, uses)
    return dataclasses.replace(report, owed=parsed)


def _to_milliseconds(seconds: float) -> int:
    return round(seconds * MILLISECONDS_PER_SECOND)


def _pack_crash(crash: ReportedCrash) -> list[t.Any]:
    requests = [
        [request.fingerprint, request.points, _to_milliseconds(request.ran)]
        for request in crash.requests
    ]
    return [crash.endpoint_id, crash.born, _to_milliseconds(crash.age), requests]


def _parse_crash(endpoint_id: t.Any, born: t.Any, age: t.Any, requests: t.Any) -> ReportedCrash:
    """Return a crash from its unpacked fields.

    :raises TypeError, ValueError: if a field has another type or value.
    """
    reported = [
        ReportedRequest(
            _parse_digest(digest),
            _parse_natural(points),
            _parse_seconds(ran),
        )
        for digest, points, ran in requests
    ]
    return ReportedCrash(
        str(endpoint_id),
        _parse_born(born),
        _parse_seconds(age),
        reported,
    )


def _pack_limit(limit: ReportedLimit) -> list[t.Any]:
    ages = [_to_milliseconds(limit.sent_age), _to_milliseconds(limit.heard_age)]
    return [limit.endpoint_id, limit.born, limit.limit, *ages]


def _parse_limit(
    endpoint_id: t.Any, born: t.Any, limit: t.Any, sent_age: t.Any, heard_age: t.Any
) -> ReportedLimit:
    """Return a limit from its unpacked fields.

    :raises TypeError, ValueError: if a field has another type or value.
    """
    sent, heard = (
        _parse_seconds(sent_age),
        _parse_seconds(heard_age),
    )
    return ReportedLimit(str(endpoint_id), _parse_born(born), _parse_rate(limit), sent, heard)


def _parse_rate(value: t.Any) -> float | None:
    if value is None:
        return None
    rate = float(value)
    if not 0 <= rate < math.inf:
        raise ValueError(f"{value!r} is not a valid rate: it must be finite and not negative")
    return rate


def _parse_natural(value: t.Any) -> int:
    number = int(value)
    if not 0 <= number <= MAX_INTEGER:
        raise ValueError(f"{value!r} is not from 0 to {MAX_INTEGER}")
    return number


def _parse_seconds(milliseconds: t.Any) -> float:
    number = _parse_natural(milliseconds)
    if number > MAX_MILLISECONDS:
        raise ValueError(f"{number} ms are more than {MAX_MILLISECONDS} ms")
    return number / MILLISECONDS_PER_SECOND


def _parse_born(value: t.Any) -> int | None:
    return None if value is None else _parse_natural(value)


def _parse_digest(value: t.Any) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError(f"{value!r} is not a digest of type bytes")
    return value
