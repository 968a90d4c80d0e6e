"""Fair waiting of requests for room at the targets of a service."""

import asyncio
import dataclasses
import heapq
import itertools
import typing
from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.routing import pool, target_view

RETRY_SECONDS: typing.Final = 0.02
MAX_ACCOUNTS: typing.Final = 10000


@dataclasses.dataclass(slots=True, order=True)
class Waiter:
    """One waiting request.

    Attributes:
        tag: Virtual start time; the lowest goes first.
        order: Order of arrival, for equal tags.
        account: Name of the client account.
        excluded: Targets that the request has tried before.
        granted: Gets the chosen target.
    """

    start_tag: float
    arrival: int
    account: str = dataclasses.field(compare=False)
    excluded: abc.Set[str] = dataclasses.field(compare=False)
    granted: asyncio.Future[target_view.TargetView] = dataclasses.field(
        compare=False
    )


class FairQueue:
    """Start-time fair queueing by client account.

    Each account's requests advance its own virtual time by one over its
    weight, so that accounts with waiting requests are served in the ratio
    of their weights, however many requests one of them sends.

    Attributes:
        pool: The targets.
        clock: Seconds on the monotonic clock.
        waiters: Waiting requests, lowest tag first.
        finish: Virtual finish time of the last request by account.
        virtual: Virtual time of the last request served.
        counter: Order of arrival.
        timer: Set while a later look at the targets is planned.
    """

    def __init__(
        self,
        targets: pool.ServicePool,
        clock: abc.Callable[[], float],
    ) -> None:
        """Start with nobody waiting."""
        self.pool = targets
        self.clock = clock
        self.waiters: list[Waiter] = []
        self.finish_times: dict[str, float] = {}
        self.virtual_time: float = 0
        self.counter = itertools.count()
        self.timer: asyncio.TimerHandle | None = None

    async def acquire(
        self,
        account: str,
        weight: float,
        seconds: float,
        excluded: abc.Set[str],
    ) -> target_view.TargetView:
        """Wait for room and take it.

        Args:
            account: Name of the client account.
            weight: Its share relative to other accounts.
            seconds: How long to wait at most.
            excluded: Targets that the request has tried before.

        Returns:
            The target, with one more request outstanding.

        Raises:
            RefusedError: If there is no room in time.
        """
        if not self.waiters:
            chosen = self.pool.pick(self.clock(), excluded)
            if chosen is not None:
                chosen.outstanding += 1
                return chosen
        waiter = self.enqueue(account, weight, excluded)
        self.grant_waiters()
        try:
            async with asyncio.timeout(seconds):
                return await waiter.granted
        except TimeoutError:
            self.cancel_waiter(waiter)
            raise self.refusal() from None
        except asyncio.CancelledError:
            self.cancel_waiter(waiter)
            raise

    def enqueue(
        self,
        account: str,
        weight: float,
        excluded: abc.Set[str],
    ) -> Waiter:
        """Add a waiting request behind those of its account."""
        tag = max(self.virtual_time, self.finish_times.get(account, 0))
        self.finish_times[account] = tag + 1 / weight
        waiter = Waiter(
            tag,
            next(self.counter),
            account,
            excluded,
            asyncio.get_running_loop().create_future(),
        )
        heapq.heappush(self.waiters, waiter)
        return waiter

    def cancel_waiter(self, waiter: Waiter) -> None:
        """Give up a waiting request, and its room if it just got some."""
        granted = waiter.granted
        if granted.done() and not granted.cancelled():
            self.release(granted.result())
            return
        granted.cancel()
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            heapq.heapify(self.waiters)

    def refusal(self) -> errors.RefusedError:
        """Return the refusal of a request that waited in vain."""
        empty = not self.pool.routing_set(self.clock())
        code = codes.NO_TARGET if empty else codes.WAIT_TIMEOUT
        return errors.RefusedError(code, self.pool.service.name)

    def release(self, held: target_view.TargetView) -> None:
        """Give back the room of a finished request."""
        held.outstanding -= 1
        self.grant_waiters()

    def grant_waiters(self) -> None:
        """Give room to waiting requests in fair order."""
        now = self.clock()
        stuck: list[Waiter] = []
        while self.waiters and len(stuck) <= LOOK_AHEAD:
            waiter = heapq.heappop(self.waiters)
            if not self.try_grant(waiter, now):
                stuck.append(waiter)
        for waiter in stuck:
            heapq.heappush(self.waiters, waiter)
        if self.waiters:
            self.schedule_retry()
        else:
            self.reset_finish_times()

    def try_grant(self, waiter: Waiter, now: float) -> bool:
        """Give room to one request; True if it needs no more room."""
        if waiter.granted.done():
            return True
        chosen = self.pool.pick(now, waiter.excluded)
        if chosen is None:
            return False
        chosen.outstanding += 1
        self.virtual_time = max(self.virtual_time, waiter.start_tag)
        waiter.granted.set_result(chosen)
        return True

    def schedule_retry(self) -> None:
        """Look again soon: a pause after shedding ends with time."""
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(RETRY_SECONDS, self.retry)

    def retry(self) -> None:
        """Look at the targets again."""
        self.timer = None
        self.grant_waiters()

    def reset_finish_times(self) -> None:
        """Forget virtual times while nobody waits."""
        if len(self.finish_times) > MAX_ACCOUNTS:
            self.finish_times.clear()


LOOK_AHEAD: typing.Final = 4
"""Requests passed over because they tried the targets with room."""
