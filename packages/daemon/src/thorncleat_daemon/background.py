"""Running a step again and again, whatever it raises.

Owns: nothing.
Relies on: steps that leave a state from which they can be run again.
"""

import asyncio
import random
import typing as t

from thorncleat_core.exceptions import ThorncleatError

from . import events

# part by which an interval varies
JITTER_SHARE = 0.1


async def repeat(
    name: str,
    step: t.Callable[[], t.Awaitable[None]],
    seconds: float,
    should_stop: t.Callable[[], bool],
) -> None:
    """Run a step at intervals until it should stop.

    A step that fails is logged and run again, so that one fault can't end the daemon's part
    in the control work without anybody's knowing.

    :param name: for the log.
    :param seconds: the interval, varied a little so that daemons don't fall into step.
    """
    last = ""
    while not should_stop():
        reason, expected = "", True
        try:
            await step()
        except ThorncleatError as error:
            reason = str(error)
        except Exception as error:
            reason, expected = repr(error), False
        if reason and reason != last:
            # a fault that lasts is written once
            events.TASK_FAILED.log(task=name, reason=reason, expected=expected)
        last = reason
        await asyncio.sleep(seconds * random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE))
