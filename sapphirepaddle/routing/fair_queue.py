"""Fair queueing of requests for capacity at the targets of a service."""

import asyncio
import dataclasses
import heapq
import itertools
import typing
from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.routing import pool, target_view

RETRY_SECONDS: typing.Final = 0.02
"""Interval at which waiting requests are tried again."""
MAX_ACCOUNTS: typing.Final = 10000
"""Number of accounts above which all finish times are dropped."""


@dataclasses.dataclass(slots=True, order=True)
class Waiter:
    """One waiting request.

    Attributes:
        start_tag: Virtual start time; the lowest is served first.
        arrival: Sequence number of arrival, for equal tags.
        account: Name of the client account.
        excluded: Names of targets that the request has already tried.
        granted: Future that resolves to the selected target.
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

    Each request advances the virtual time of its account by one over the
    weight of the account. Accounts with waiting requests are therefore
    served in the ratio of their weights, regardless of how many requests
    each of them sends.

    Attributes:
        pool: The targets.
        clock: Returns seconds of the monotonic clock.
        waiters: Heap of waiting requests, lowest start tag first.
        finish_times: Virtual finish time of the last request, by account.
        virtual_time: Virtual time of the last request served.
        arrival_numbers: Iterator over arrival numbers.
        timer: Handle of the scheduled retry; None if there is none.
    """

    def __init__(
        self,
        targets: pool.ServicePool,
        clock: abc.Callable[[], float],
    ) -> None:
        """Initialize an empty queue."""
        self.pool = targets
        self.clock = clock
        self.waiters: list[Waiter] = []
        self.finish_times: dict[str, float] = {}
        self.virtual_time: float = 0
        self.arrival_numbers = itertools.count()
        self.timer: asyncio.TimerHandle | None = None

    async def acquire(
        self,
        account: str,
        weight: float,
        timeout_seconds: float,
        excluded: abc.Set[str],
    ) -> target_view.TargetView:
        """Wait for a target with capacity and reserve a request there.

        Args:
            account: Name of the client account.
            weight: Weight of the account relative to others.
            timeout_seconds: Longest time to wait.
            excluded: Names of targets that the request has already tried.

        Returns:
            The target, with one more request outstanding.

        Raises:
            RefusedError: If no target has capacity within the timeout.
        """
        if not self.waiters:
            chosen = self.pool.pick(self.clock(), excluded)
            if chosen is not None:
                chosen.outstanding += 1
                return chosen
        waiter = self.enqueue(account, weight, excluded)
        self.grant_waiters()
        try:
            async with asyncio.timeout(timeout_seconds):
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
        """Queue a request after the earlier ones of its account."""
        start_tag = max(self.virtual_time, self.finish_times.get(account, 0))
        self.finish_times[account] = start_tag + 1 / weight
        waiter = Waiter(
            start_tag,
            next(self.arrival_numbers),
            account,
            excluded,
            asyncio.get_running_loop().create_future(),
        )
        heapq.heappush(self.waiters, waiter)
        return waiter

    def cancel_waiter(self, waiter: Waiter) -> None:
        """Remove a waiting request and release a target granted meanwhile."""
        granted = waiter.granted
        if granted.done() and not granted.cancelled():
            self.release(granted.result())
            return
        granted.cancel()
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            heapq.heapify(self.waiters)

    def refusal(self) -> errors.RefusedError:
        """Return the error for a request whose wait timed out."""
        is_empty = not self.pool.routing_set(self.clock())
        code = codes.NO_TARGET if is_empty else codes.WAIT_TIMEOUT
        return errors.RefusedError(code, self.pool.service.name)

    def release(self, view: target_view.TargetView) -> None:
        """Release the capacity of a finished request."""
        view.outstanding -= 1
        self.grant_waiters()

    def grant_waiters(self) -> None:
        """Grant capacity to waiting requests in the order of their tags."""
        now = self.clock()
        skipped: list[Waiter] = []
        while self.waiters and len(skipped) <= MAX_SKIPPED_WAITERS:
            waiter = heapq.heappop(self.waiters)
            if not self.try_grant(waiter, now):
                skipped.append(waiter)
        for waiter in skipped:
            heapq.heappush(self.waiters, waiter)
        if self.waiters:
            self.schedule_retry()
        else:
            self.reset_finish_times()

    def try_grant(self, waiter: Waiter, now: float) -> bool:
        """Grant capacity to one request.

        Returns:
            Whether the request has left the queue: granted or cancelled.
        """
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
        """Schedule a retry, unless one is scheduled.

        The end of a backoff after shedding is not signalled otherwise.
        """
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(RETRY_SECONDS, self.retry)

    def retry(self) -> None:
        """Try again to grant capacity to the waiting requests."""
        self.timer = None
        self.grant_waiters()

    def reset_finish_times(self) -> None:
        """Drop all finish times if there are too many accounts.

        Called only while no request is waiting.
        """
        if len(self.finish_times) > MAX_ACCOUNTS:
            self.finish_times.clear()


MAX_SKIPPED_WAITERS: typing.Final = 4
"""Waiting requests that may be skipped because they have already tried the
targets that have capacity."""
