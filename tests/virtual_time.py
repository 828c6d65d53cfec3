"""An event loop in virtual time, which jumps to the next timer."""

import asyncio
import random
import selectors
import typing as t


class _JumpingSelector(selectors.DefaultSelector):
    """A selector that never blocks, but advances the virtual time by the timeout."""

    def __init__(self) -> None:
        super().__init__()
        self.virtual_seconds = 0.0

    def select(self, timeout: float | None = None) -> t.Any:
        if timeout is None:
            raise RuntimeError("deadlock: no timer or callback is pending")
        self.virtual_seconds += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        return 1000.0 + self._jumping_selector.virtual_seconds


def run(coroutine: t.Coroutine[t.Any, t.Any, t.Any]) -> t.Any:
    """Run a coroutine in a virtual loop of its own and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


class SetClock:
    """A clock that a test sets, in seconds."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


class RandomTimers:
    """Base class of sites in virtual time, whose events come at times drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def later(self, seconds: float, action: t.Callable[[], t.Any]) -> None:
        asyncio.get_running_loop().call_later(seconds, action)

    def random_later(
        self, min_seconds: float, max_seconds: float, action: t.Callable[[], t.Any]
    ) -> None:
        self.later(self.random.uniform(min_seconds, max_seconds), action)
