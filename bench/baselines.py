"""Baseline load balancing policies, for comparison with the project's own."""

import typing

from sapphirepaddle.objects import configuration
from sapphirepaddle.routing import pool, result, routing_table, target_view


class RoundRobinPool(pool.ServicePool):
    """Baseline (a): round robin over all targets without ejection.

    Attributes:
        next_index: Number of picks so far.
    """

    next_index = 0

    def routing_set(self, now: float) -> list[target_view.TargetView]:
        """Return every available target."""
        return [
            view
            for name, view in sorted(self.views.items())
            if name not in self.unavailable
        ]

    def pick(
        self,
        now: float,
        excluded: typing.AbstractSet[str],
    ) -> target_view.TargetView | None:
        """Return the next target in round-robin order, if there is one."""
        routed_views = self.routing_set(now)
        candidates = [
            view for view in routed_views if view.target.name not in excluded
        ]
        self.next_index += 1
        return (
            candidates[self.next_index % len(candidates)]
            if candidates
            else None
        )


class ConsecutiveErrorsPool(RoundRobinPool):
    """Baseline (b): ejection after consecutive errors, in each daemon alone.

    Five errors in a row eject a target for 30 s, and for 30 s longer at each
    further ejection. If more than half of the targets are ejected, all are
    used.

    Attributes:
        max_consecutive_errors: Errors in a row that eject a target.
        base_ejection_seconds: Length of the first ejection.
    """

    max_consecutive_errors = 5
    base_ejection_seconds = 30

    def routing_set(self, now: float) -> list[target_view.TargetView]:
        """Return the targets that are not ejected."""
        views = super().routing_set(now)
        views_in_use = [
            view for view in views if not self.is_ejected(view, now)
        ]
        return views_in_use if len(views_in_use) * 2 >= len(views) else views

    def is_ejected(self, view: target_view.TargetView, now: float) -> bool:
        """Return whether a target is ejected.

        Ejects it first if it has reached the limit of consecutive errors.
        """
        if (
            view.consecutive_suspect >= self.max_consecutive_errors
            and now >= view.avoided_until
        ):
            view.consecutive_avoidances += 1
            view.avoided_until = (
                now + self.base_ejection_seconds * view.consecutive_avoidances
            )
            view.consecutive_suspect = 0
        return now < view.avoided_until


class BaselineView(target_view.TargetView):
    """A target view that counts consecutive errors but avoids no target."""

    __slots__ = ()

    def record_result(self, attempt_result: result.Result, now: float) -> None:
        """Count consecutive errors; a slow success changes nothing."""
        is_slow = attempt_result is result.Result.SLOW
        if attempt_result.is_suspect and not is_slow:
            self.consecutive_suspect += 1
        elif not attempt_result.is_suspect:
            self.consecutive_suspect = 0

    def has_capacity(self, now: float) -> bool:
        """Return True: the baselines do not limit concurrency."""
        return True


POOLS = {
    'round robin': RoundRobinPool,
    'consecutive errors': ConsecutiveErrorsPool,
    'alone': pool.ServicePool,
    'ours': pool.ServicePool,
}


class PolicyTable(routing_table.RoutingTable):
    """A routing table that creates the pools of a policy.

    Attributes:
        policy: Name of the policy, a key of POOLS.
    """

    policy = 'ours'

    def create_queue(self, current: configuration.Configuration, name: str):
        """Create the pool and the queue of a service."""
        service_pool = POOLS[self.policy](
            current.services[name],
            self.zone,
            self.settings,
            self.rng,
        )
        queue = routing_table.fair_queue.FairQueue(service_pool, self.clock)
        self.queues[name] = queue
        return queue
