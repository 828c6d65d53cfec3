"""A group of a service as one plan sees it.

Owns: nothing.
Relies on: :mod:`.group_inspector`, which leaves out the groups that are being ended or formed.
"""

import dataclasses

from ..store.roster import Endpoint
from ..store.roster import GroupId
from .slow_endpoints import SlowGroup


@dataclasses.dataclass(frozen=True)
class RunningGroup:
    """A group that serves or may soon serve.

    :param members: the listed members.
    :param is_open: whether its leader answers requests.
    :param slow_group: set if the group has slow members.
    """

    id: GroupId
    domain: str
    model: str
    members: tuple[Endpoint, ...]
    is_open: bool
    slow_group: SlowGroup | None = None
