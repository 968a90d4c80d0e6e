"""The targets of one service in the eyes of one daemon."""

import random
import typing
from collections import abc

from sapphirepaddle.objects import service, target
from sapphirepaddle.routing import (
    capacity_floor,
    latency,
    result_counts,
    ejection_state,
    target_view,
)
from sapphirepaddle.settings import entry

REFRESH_SECONDS: typing.Final = 0.05
OTHER_ZONE_COST: typing.Final = 0.5
CHOICES: typing.Final = 2


class ServicePool:
    """Routing set and choice for one service.

    Attributes:
        service: The configured service.
        zone: Availability zone of this daemon.
        settings: Thresholds of evidence.
        chance: Source of randomness.
        views: What is known of each target by name.
        gone: Targets that take no new work by configuration.
        baselines: Usual latency by route.
        routed: The routing set at the last refresh.
        refreshed: Time of the last refresh.
    """

    def __init__(
        self,
        configured: service.Service,
        zone: str,
        settings: entry.RoutingSettings,
        chance: random.Random,
    ) -> None:
        """Start without targets."""
        self.service = configured
        self.zone = zone
        self.settings = settings
        self.rng = chance
        self.views: dict[str, target_view.TargetView] = {}
        self.unavailable: frozenset[str] = frozenset()
        self.baselines: dict[str, latency.Baseline] = {}
        self.cached_routing_set: list[target_view.TargetView] = []
        self.refreshed: float = -1

    def configure(
        self,
        configured: service.Service,
        targets: abc.Iterable[target.Target],
        emptied_zones: abc.Set[str],
    ) -> None:
        """Take up the configuration in force; evidence is kept."""
        wanted = {entry.name: entry for entry in targets}
        self.service = configured
        kept = {
            name: self.update_view(wanted[name], held)
            for name, held in self.views.items()
            if name in wanted and self.has_same_address(wanted[name], held)
        }
        added = {
            name: self.create(configured_target)
            for name, configured_target in wanted.items()
            if name not in kept
        }
        self.views = kept | added
        self.unavailable = frozenset(
            name
            for name, configured_target in wanted.items()
            if configured_target.state == 'draining'
            or configured_target.zone in emptied_zones
        )
        self.refreshed = -1

    def has_same_address(
        self, wanted: target.Target, held: target_view.TargetView
    ) -> bool:
        """Tell whether a target is still reached at the same address."""
        return (wanted.address, wanted.port) == (
            held.target.address,
            held.target.port,
        )

    def update_view(
        self, wanted: target.Target, held: target_view.TargetView
    ) -> target_view.TargetView:
        """Update a view with the configuration."""
        held.target = wanted
        held.slots = self.service.slots
        return held

    def create(self, configured: target.Target) -> target_view.TargetView:
        """Return the view of a new target."""
        return target_view.TargetView(
            target=configured,
            slots=self.service.slots,
            counts=result_counts.SlidingWindow(self.settings.window_seconds),
            concurrency_limit=self.service.slots,
        )

    def baseline(self, route: str) -> latency.Baseline:
        """Return the usual latency of a route."""
        held = self.baselines.get(route)
        if held is None:
            held = latency.Baseline()
            self.baselines[route] = held
        return held

    def slow_threshold(self, route: str) -> float:
        """Return the time from which an answer of a route is slow."""
        least = self.settings.slow_ms / MILLISECONDS_PER_SECOND
        return self.baseline(route).slow_threshold(
            self.settings.slow_factor, least
        )

    def apply_ejection_state(
        self, fresh: ejection_state.EjectionState, now: float
    ) -> bool:
        """Take up a verdict of the fleet if it is newer.

        Returns:
            Whether it was taken up.
        """
        held = self.views.get(fresh.target)
        if held is None:
            return False
        if not is_newer(held.fleet_state, fresh):
            return False
        held.fleet_state = fresh
        held.fleet_state_at = now
        self.refreshed = -1
        return True

    def routing_set(self, now: float) -> list[target_view.TargetView]:
        """Return the targets that take new work, never below the floor."""
        if now - self.refreshed < REFRESH_SECONDS and self.refreshed >= 0:
            return self.cached_routing_set
        names = capacity_floor.select_routing_set(
            [self.target_capacity(held, now) for held in self.views.values()],
            self.service.floor,
        )
        self.cached_routing_set = [self.views[name] for name in sorted(names)]
        self.refreshed = now
        return self.cached_routing_set

    def target_capacity(
        self, held: target_view.TargetView, now: float
    ) -> capacity_floor.TargetCapacity:
        """Return a target as the floor sees it."""
        name = held.target.name
        ejected = held.is_ejected() or held.is_avoided(now)
        return capacity_floor.TargetCapacity(
            name=name,
            slots=held.slots,
            is_unavailable=name in self.unavailable
            or now < held.draining_until,
            ejected=ejected,
            fault_score=held.fault_score(now) if ejected else 0,
        )

    def pick(
        self, now: float, excluded: abc.Set[str]
    ) -> target_view.TargetView | None:
        """Choose a target with room, the cheaper of two at random.

        Args:
            now: Seconds on the monotonic clock.
            excluded: Targets that the request has tried before.

        Returns:
            The target, or None if none has room.
        """
        able = [
            held
            for held in self.routing_set(now)
            if held.has_capacity(now)
            and held.target.name not in excluded
            and self.may_send_to_returning(held, now)
        ]
        if len(able) > CHOICES:
            able = self.rng.sample(able, CHOICES)
        return min(able, key=self.cost, default=None)

    def may_send_to_returning(
        self, held: target_view.TargetView, now: float
    ) -> bool:
        """Draw whether a returning target takes this request."""
        share = held.return_share(now, self.settings)
        return share >= 1 or self.rng.random() < share

    def cost(self, held: target_view.TargetView) -> float:
        """Return the cost of sending one more request to a target."""
        work = (held.outstanding + held.reported_load) / held.slots
        far = held.target.zone != self.zone
        return work + OTHER_ZONE_COST * far


MILLISECONDS_PER_SECOND: typing.Final = 1000


def is_newer(
    held: ejection_state.EjectionState | None,
    fresh: ejection_state.EjectionState,
) -> bool:
    """Tell whether a verdict is newer than the one held."""
    return held is None or held.epoch < fresh.epoch
