"""The settings of a daemon, read from a file of JSON with comments.

Owns: nothing.
Relies on: :mod:`~thorncleat_core.jsonc` for parsing and validation.
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


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Identity(_StrictModel):
    """The identity and location of this daemon.

    :param id: unique id of the daemon.
    :param failure_domain: unused, but required in every settings file.
    :param region: unused, but required in every settings file.
    """

    id: str = pydantic.Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")
    failure_domain: str = pydantic.Field(min_length=1)
    region: str = pydantic.Field(min_length=1)


class Tls(_StrictModel):
    """Paths of the certificate and key files of a listener."""

    certificate: pathlib.Path
    key: pathlib.Path


class Listeners(_StrictModel):
    """Addresses on which the daemon listens. Port 0 selects a free port."""

    callers: Address
    operators: Address
    peers: Address
    callers_tls: Tls | None = None
    operators_tls: Tls | None = None

    @pydantic.model_validator(mode="after")
    def _check_duplicates(self) -> t.Self:
        used = [
            address
            for address in (self.callers, self.operators, self.peers)
            if address[-2:] != ":0"
        ]
        for address in used:
            if used.count(address) > 1:
                raise ValueError(f"address {address!r} is used twice")
        return self


class PeerKeys(_StrictModel):
    """CURVE keys for connections between daemons, in Z85 encoding.

    :param public: public key of this daemon.
    :param secret: secret key of this daemon.
    :param accepted: public keys that may connect; several during a key rotation.
    """

    public: Z85Key
    secret: pydantic.SecretStr
    accepted: list[Z85Key] = pydantic.Field(min_length=1, max_length=8)


class StoreSettings(_StrictModel):
    """Access to the platform's key-value store.

    :param endpoints: addresses of the store.
    :param timeout: seconds to wait for an answer.
    :param writes: maximum writes per second of the whole fleet.
    :param reads: maximum reads per second of the whole fleet.
    """

    endpoints: list[Address] = pydantic.Field(min_length=1)
    timeout: Seconds = 2.0
    writes: float = pydantic.Field(default=100.0, gt=0)
    reads: float = pydantic.Field(default=2000.0, gt=0)


class PlatformSettings(_StrictModel):
    """Access to the platform's list of instances.

    :param endpoints: addresses of the platform.
    :param poll: seconds between two requests for the list.
    """

    endpoints: list[Address] = pydantic.Field(min_length=1)
    poll: Seconds = 2.0


class Control(_StrictModel):
    """Settings of shard leases, groups and membership. Durations are in seconds.

    :param shards: number of control shards, which must be the same on every daemon.
    :param probe: interval between probes of a group's members.
    :param window: validity of a member's confirmation.
    :param permit: maximum validity of a permit.
    :param lease: TTL of a shard's lease.
    :param lease_margin: time before the end of a lease at which its holder stops acting.
    :param member_probe: interval between probes of other daemons.
    :param repair_after: time that a member may be missing before it is replaced.
    :param load: estimated duration of loading a model.
    :param repair: name of the repair strategy.
    """

    shards: int = pydantic.Field(default=16, ge=1, le=1024)
    probe: Seconds = 0.5
    window: Seconds = 2.0
    permit: Seconds = 2.0
    # A shorter TTL makes lease renewals use up the write rate of the store.
    lease: Seconds = 6.0
    lease_margin: Seconds = 1.0
    member_probe: Seconds = 1.0
    repair_after: Seconds = 3.0
    load: Seconds = 120.0
    repair: t.Literal["donate", "spares"] = "donate"

    @pydantic.model_validator(mode="after")
    def _check_consistency(self) -> t.Self:
        if self.window <= 2 * self.probe:
            raise ValueError(f"window {self.window!r} must be over twice probe {self.probe!r}")
        if self.lease <= 3 * self.lease_margin:
            text = f"lease {self.lease!r} must be over three times its margin"
            raise ValueError(text)
        return self


class Requests(_StrictModel):
    """Limits on requests.

    :param body: maximum body size in bytes.
    :param deadline: seconds until the deadline of a request that names none.
    :param stall: idle timeout of an engine's stream in seconds.
    :param attach: maximum number of groups that a daemon uses for each model.
    :param group_tokens: maximum tokens in flight in a group.
    :param queue_tokens: maximum tokens queued for each workspace and model.
    :param claim_seconds: seconds for which the idempotency key of a request is kept.
    :param routing: name of the routing policy.
    """

    body: int = pydantic.Field(default=4_000_000, ge=1024, le=64_000_000)
    deadline: Seconds = 60.0
    stall: Seconds = 10.0
    attach: int = pydantic.Field(default=8, ge=1, le=64)
    group_tokens: int = pydantic.Field(default=400_000, ge=1)
    queue_tokens: int = pydantic.Field(default=200_000, ge=1)
    claim_seconds: int = pydantic.Field(default=86_400, ge=60, le=604_800)
    routing: str = "bounded_affinity"


class BootstrapOperator(_StrictModel):
    """An operator who has access before the configuration defines any operators."""

    name: str = pydantic.Field(min_length=1)
    key_digest: str

    @pydantic.field_validator("key_digest")
    @classmethod
    def _digest(cls, value: str) -> str:
        if not keys.is_digest(value):
            raise ValueError("a SHA-256 digest in hexadecimal is wanted, see `thorncleat key`")
        return value


class Settings(_StrictModel):
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
    """Return the settings in a file.

    :raises DocumentError: listing all errors with their lines and paths.
    """
    document = jsonc.read(path)
    settings = jsonc.validate(document, Settings)
    problems = [
        Problem(document.line_of(("listen", name, key)), f"listen.{name}.{key}", text)
        for name, key, text in _find_missing_files(settings)
    ]
    if problems:
        raise DocumentError(document.name, problems)
    return settings


def _find_missing_files(settings: Settings) -> t.Iterator[tuple[str, str, str]]:
    listeners = {
        "callers_tls": settings.listen.callers_tls,
        "operators_tls": settings.listen.operators_tls,
    }
    for name, tls in listeners.items():
        if tls is None:
            continue
        for key, path in (("certificate", tls.certificate), ("key", tls.key)):
            if not path.is_file():
                yield name, key, f"no file {str(path)!r}"
