"""Faults of the gateway's soak: workers whose bytes are no answer in HTTP.

The random generator is separate, so that seeds still choose the same faults elsewhere.

Owns: nothing; a worker becomes sound again by itself.
Relies on: :mod:`thorncleat_standins.raw_answers` for the forms.
"""

import asyncio
import random

from thorncleat_standins import raw_answers
from thorncleat_standins.raw_answers import RawAnswer

from .gateway_endless_faults import CALLS
from .gateway_endless_faults import MIN_SOUND_WORKERS
from .gateway_endless_faults import is_called
from .gateway_troubles import GatewaySoak
from .gateway_workers import SoakWorker

# A body that begins with a whole event can't be told from a sound one by then.
FORMS = raw_answers.BROKEN_HEADS | {
    name: form
    for name, form in raw_answers.BROKEN_BODIES.items()
    if raw_answers.BODY not in form.content
}
# What such an answer says of its worker, or of the request.
LINES = (
    b"",
    b"X-Thorncleat-Not-Executed: 1\r\n",
    b"Server-Limit: 0\r\n",
    b"Server-Leaving: 1\r\n",
    b"Connection: close\r\n",
)
PAUSES_SECONDS = (0.0, 0.0, 0.02)


async def inject_broken_answers(soak: GatewaySoak, seed: int) -> None:
    """Make random workers answer with bytes that are no answer, until the end of the run."""
    rng = random.Random(f"broken {seed}")
    tasks: list[asyncio.Task[None]] = []
    while not soak.is_over:
        await asyncio.sleep(rng.uniform(0.2, 1.0))
        form, calls = FORMS[rng.choice(sorted(FORMS))], rng.choice(CALLS)
        lines, pause = rng.choice(LINES), rng.choice(PAUSES_SECONDS)
        service, seconds = rng.choice(("narrator", "desk")), rng.uniform(0.2, 1.5)
        called = [worker for worker in soak.site.workers.values() if is_called(worker, service)]
        if len(called) <= MIN_SOUND_WORKERS:
            continue
        chosen = rng.choice(called)
        chosen.raw_lines, chosen.raw_pause, chosen.raw_paths = lines, pause, calls
        soak.counts["trouble broken answers"] += 1
        tasks.append(asyncio.create_task(_break_answers(chosen, form, seconds)))
    await asyncio.gather(*tasks)
    soak.counts["broken answers"] += sum(worker.raw_count for worker in soak.site.workers.values())


async def _break_answers(worker: SoakWorker, form: RawAnswer, seconds: float) -> None:
    worker.raw_answer = form
    await asyncio.sleep(seconds)
    worker.raw_answer = None
