"""Settings of a daemon: one file of JSON with comments.

Owns: nothing.
Relies on: the file being read once, at the start.
"""

import ipaddress
import pathlib
import typing as t

import pydantic

from .. import jsonc
from ..exceptions import DocumentError
from ..exceptions import Problem
from . import keys


def _checked_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"an IP number and a port are wanted, not {value!r}") from None
    if not port.isdigit() or int(port) > 65_535:
        raise ValueError(f"port {port!r} is not between 0 and 65535")
    return value


Address = t.Annotated[str, pydantic.AfterValidator(_checked_address)]
Seconds = t.Annotated[float, pydantic.Field(gt=0, le=3600)]
Z85Key = t.Annotated[str, pydantic.Field(min_length=40, max_length=40)]


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Identity(_Strict):
    """Who and where this daemon is.

    :param failure_domain: read by nothing; required since the first settings files.
    :param region: likewise.
    """

    id: str = pydantic.Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")
    failure_domain: str = pydantic.Field(min_length=1)
    region: str = pydantic.Field(min_length=1)


class Tls(_Strict):
    """Certificate and key files of a listener."""

    certificate: pathlib.Path
    key: pathlib.Path


class Listeners(_Strict):
    """Where the daemon listens; port 0 takes a free one."""

    callers: Address
    operators: Address
    peers: Address
    callers_tls: Tls | None = None
    operators_tls: Tls | None = None

    @pydantic.model_validator(mode="after")
    def _no_duplicates(self) -> t.Self:
        used = [
            address
            for address in (self.callers, self.operators, self.peers)
            if address[-2:] != ":0"
        ]
        for address in used:
            if used.count(address) > 1:
                raise ValueError(f"address {address!r} is used twice")
        return self


class PeerKeys(_Strict):
    """CURVE keys among the daemons, in Z85.

    :param accepted: public keys that may connect; two while keys are being changed.
    """

    public: Z85Key
    secret: pydantic.SecretStr
    accepted: list[Z85Key] = pydantic.Field(min_length=1, max_length=8)


class StoreSettings(_Strict):
    """The platform's key-value service.

    :param writes: writes a second for the whole fleet.
    :param reads: reads a second for the whole fleet.
    """

    endpoints: list[Address] = pydantic.Field(min_length=1)
    timeout: Seconds = 2.0
    # of the store, for the whole fleet
    writes: float = pydantic.Field(default=100.0, gt=0)
    reads: float = pydantic.Field(default=2000.0, gt=0)


class PlatformSettings(_Strict):
    """The platform's list of instances."""

    endpoints: list[Address] = pydantic.Field(min_length=1)
    # between fetches
    poll: Seconds = 2.0


class Control(_Strict):
    """Ownership, groups and membership.

    :param shards: control shards; the same on every daemon.
    :param probe: seconds between probes of a group's members.
    :param window: seconds for which a member's confirmation counts.
    :param permit: longest validity of a permit in seconds.
    :param lease: time to live of a shard's lease in seconds.
    :param repair_after: seconds for which a missing member is waited for.
    :param load: estimate for loading a model, in seconds.
    :param repair: how groups are repaired when spares are short.
    """

    shards: int = pydantic.Field(default=16, ge=1, le=1024)
    probe: Seconds = 0.5
    window: Seconds = 2.0
    permit: Seconds = 2.0
    # shorter ones take too many writes: at 128 holders 64 of the store's 100
    lease: Seconds = 6.0
    lease_margin: Seconds = 1.0
    member_probe: Seconds = 1.0
    repair_after: Seconds = 3.0
    load: Seconds = 120.0
    repair: t.Literal["donate", "spares"] = "donate"

    @pydantic.model_validator(mode="after")
    def _consistent(self) -> t.Self:
        if self.window <= 2 * self.probe:
            raise ValueError(f"window {self.window!r} must be over twice probe {self.probe!r}")
        if self.lease <= 3 * self.lease_margin:
            text = f"lease {self.lease!r} must be over three times its margin"
            raise ValueError(text)
        return self


class Requests(_Strict):
    """Limits on requests.

    :param body: largest body in bytes.
    :param deadline: seconds a request may take when it doesn't say.
    :param stall: seconds of silence after which an engine's stream is given up.
    :param attach: groups that a daemon uses for each model.
    :param group_tokens: tokens a group can have in flight.
    :param queue_tokens: tokens that may wait for each workspace and model.
    :param claim_seconds: how long the key of a request is remembered.
    :param routing: how a group is chosen.
    """

    body: int = pydantic.Field(default=4_000_000, ge=1024, le=64_000_000)
    deadline: Seconds = 60.0
    stall: Seconds = 10.0
    attach: int = pydantic.Field(default=8, ge=1, le=64)
    group_tokens: int = pydantic.Field(default=400_000, ge=1)
    queue_tokens: int = pydantic.Field(default=200_000, ge=1)
    claim_seconds: int = pydantic.Field(default=86_400, ge=60, le=604_800)
    routing: str = "bounded_affinity"


class BootstrapOperator(_Strict):
    """An operator who may act before the configuration names any."""

    name: str = pydantic.Field(min_length=1)
    key_digest: str

    @pydantic.field_validator("key_digest")
    @classmethod
    def _digest(cls, value: str) -> str:
        if not keys.is_digest(value):
            raise ValueError("a SHA-256 digest in hexadecimal is wanted, see `thorncleat key`")
        return value


class Settings(_Strict):
    """All settings of a daemon."""

    cluster: str = pydantic.Field(pattern=r"^[a-z0-9-]{1,32}$")
    daemon: Identity
    listen: Listeners
    peer_keys: PeerKeys
    store: StoreSettings
    platform: PlatformSettings
    operators: list[BootstrapOperator] = []
    control: Control = Control()
    requests: Requests = Requests()
    log_level: t.Literal["debug", "info", "warning", "error"] = "info"


def load(path: pathlib.Path) -> Settings:
    """Read settings.

    :raises DocumentError: with a line and a path for every fault.
    """
    document = jsonc.read(path)
    settings = jsonc.validate(document, Settings)
    problems = [
        Problem(document.line_of(("listen", name, part)), f"listen.{name}.{part}", text)
        for name, part, text in _missing_files(settings)
    ]
    if problems:
        raise DocumentError(document.name, problems)
    return settings


def _missing_files(settings: Settings) -> t.Iterator[tuple[str, str, str]]:
    pairs = {
        "callers_tls": settings.listen.callers_tls,
        "operators_tls": settings.listen.operators_tls,
    }
    for name, tls in pairs.items():
        if tls is None:
            continue
        for part, path in (("certificate", tls.certificate), ("key", tls.key)):
            if not path.is_file():
                yield name, part, f"no file {str(path)!r}"
