"""Workers whose streams stand still while a member of their group is missing.

Owns: nothing; a subclass knows which members are missing.
Relies on: the daemons' settings, which state the same stall timeout.
"""

import asyncio

from aiohttp import web

from thorncleat_standins.endless import EndlessWorker
from thorncleat_standins.platform_worker import ATTEMPT_ID
from thorncleat_standins.raw_answers import RawWorker


class StallingWorker(EndlessWorker, RawWorker):
    """A worker that stalls as a leader while a member is missing.

    :ivar stall_timeout: how long it stalls before it breaks its group, in seconds. The daemons'
        stall timeout has the same value.
    :ivar event_interval: seconds between two events of a stream.
    """

    stall_timeout: float
    event_interval: float

    @property
    def is_group_complete(self) -> bool:
        """Whether no member of its group is missing."""
        raise NotImplementedError

    def event(self, request: web.BaseRequest, number: int) -> bytes:
        """Return the data of an event, with the id of its request."""
        return b"%s %d" % (request.headers[ATTEMPT_ID].encode(), number)

    async def wait_to_run(self) -> None:
        """Stall while a member is missing, before the first event too.

        :raises ConnectionResetError: after the stall timeout, to break the stream.
        """
        stall_started_at = asyncio.get_running_loop().time()
        while not self.is_group_complete:
            if asyncio.get_running_loop().time() - stall_started_at > self.stall_timeout:
                if self._group is not None:
                    self._group["state"] = "broken"
                    self.publish()
                raise ConnectionResetError("the group is broken")
            await asyncio.sleep(self.event_interval)

    async def delay_next_event(self) -> None:
        """Wait for the interval between two events, and stall while a member is missing.

        :raises ConnectionResetError: after the stall timeout, to break the stream.
        """
        await asyncio.sleep(self.event_interval)
        await self.wait_to_run()
