"""Baselines that the policy is compared with."""

import typing

from sapphirepaddle.objects import configuration
from sapphirepaddle.routing import pool, result, routing_table, target_view


class RoundRobinPool(pool.ServicePool):
    """Baseline (a): targets in turn, nothing is ejected."""

    next_index = 0

    def routing_set(self, now: float) -> list[target_view.TargetView]:
        """Return every target that does not leave."""
        return [
            held
            for name, held in sorted(self.views.items())
            if name not in self.unavailable
        ]

    def pick(
        self,
        now: float,
        excluded: typing.AbstractSet[str],
    ) -> target_view.TargetView | None:
        """Return the next target in turn."""
        routed = self.routing_set(now)
        able = [held for held in routed if held.target.name not in excluded]
        self.next_index += 1
        return able[self.next_index % len(able)] if able else None


class ConsecutiveErrorsPool(RoundRobinPool):
    """Baseline (b): five errors in a row eject for 30 s and longer, in one
    daemon, at most half of the targets."""

    max_consecutive_errors = 5
    base_ejection_seconds = 30

    def routing_set(self, now: float) -> list[target_view.TargetView]:
        """Return the targets that are not ejected."""
        every = super().routing_set(now)
        kept = [held for held in every if not self.is_ejected(held, now)]
        return kept if len(kept) * 2 >= len(every) else every

    def is_ejected(self, held: target_view.TargetView, now: float) -> bool:
        """Tell whether a target is ejected, and eject it if due."""
        if (
            held.consecutive_bad >= self.max_consecutive_errors
            and now >= held.avoided_until
        ):
            held.consecutive_avoidances += 1
            held.avoided_until = (
                now + self.base_ejection_seconds * held.consecutive_avoidances
            )
            held.consecutive_bad = 0
        return now < held.avoided_until


class BaselineView(target_view.TargetView):
    """What the baselines note: errors in a row, but nothing is avoided."""

    __slots__ = ()

    def record(self, seen: result.Result, now: float) -> None:
        """Count errors in a row."""
        slow = seen is result.Result.SLOW
        if seen.is_bad and not slow:
            self.consecutive_bad += 1
        elif not seen.is_bad:
            self.consecutive_bad = 0

    def has_room(self, now: float) -> bool:
        """Have room always."""
        return True


POOLS = {
    'round robin': RoundRobinPool,
    'consecutive errors': ConsecutiveErrorsPool,
    'alone': pool.ServicePool,
    'ours': pool.ServicePool,
}


class PolicyTable(routing_table.RoutingTable):
    """A routing table with the pools of a policy."""

    policy = 'ours'

    def open(self, current: configuration.Configuration, name: str):
        """Create the pool and waiting room of a service."""
        targets = POOLS[self.policy](
            current.services[name],
            self.zone,
            self.settings,
            self.rng,
        )
        room = routing_table.fair_queue.FairQueue(targets, self.clock)
        self.queues[name] = room
        return room
