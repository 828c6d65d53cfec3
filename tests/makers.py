"""Factories for values that several tests need."""

import hashlib

from thorncleat_core.daemon.configuration import Change
from thorncleat_core.daemon.fleet import Fleet
from thorncleat_core.daemon.fleet import Instance
from thorncleat_core.daemon.fleet import InstanceKind
from thorncleat_core.daemon.fleet import InstanceState

CALLER_KEY = "caller-key"


def digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def instance(name: str, domain: str = "fabric-0", failure_domain: str = "fd-0", **more) -> Instance:
    fields = {
        "kind": InstanceKind.ENDPOINT,
        "address": f"10.0.0.1:{sum(name.encode())}",
        "region": "here",
        "accelerators": 8,
        "state": InstanceState.LIVE,
        **more,
    }
    return Instance(id=name, fabric_domain=domain, failure_domain=failure_domain, **fields)


def fleet(domains: int = 2, size: int = 6) -> Fleet:
    return Fleet.from_instances(
        instance(f"d{domain}-i{number}", f"fabric-{domain}", f"fd-{domain}")
        for domain in range(domains)
        for number in range(size)
    )


def change(replicas: int = 1, size: int = 4, spares: int = 0, **more) -> Change:
    fields = {
        "workspaces": [{"name": "a", "key_digests": [digest(CALLER_KEY)]}],
        "intents": [
            {
                "name": "narrator",
                "model": "m",
                "version": "v1",
                "workspaces": ["a"],
                "replicas": replicas,
                "instances_per_replica": size,
                "spares": spares,
            }
        ],
        **more,
    }
    return Change.model_validate(fields)
