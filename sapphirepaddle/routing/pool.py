"""Routing set and target selection of one service in an entry daemon."""

import random
import typing
from collections import abc

from sapphirepaddle.objects import service, target
from sapphirepaddle.routing import (
    capacity_floor,
    ejection_state,
    emptied_zones,
    latency,
    result_counts,
    target_view,
)
from sapphirepaddle.settings import entry

REFRESH_SECONDS: typing.Final = 0.05
"""Age at which the cached routing set is computed again."""
OTHER_ZONE_COST: typing.Final = 0.5
"""Cost of a target in another zone, in requests per slot."""
SAMPLE_SIZE: typing.Final = 2
"""Targets sampled per request, of which the cheapest is selected."""


class ServicePool:
    """Targets of one service, with their routing set and selection.

    Attributes:
        service: The configured service.
        zone: Availability zone of this daemon.
        settings: Thresholds of outlier detection.
        rng: Random number generator.
        views: View of each target by name.
        draining: Names of targets that are configured as draining.
        emptied_zones: Zones whose targets take no new requests.
        baselines: Baseline latency by route.
        cached_routing_set: The routing set at the last refresh.
        refreshed_at: Time of the last refresh; negative to force the next one.
    """

    def __init__(
        self,
        configured: service.Service,
        zone: str,
        settings: entry.RoutingSettings,
        rng: random.Random,
        zones_to_avoid: emptied_zones.EmptiedZones | None = None,
    ) -> None:
        """Initialize a pool without targets."""
        self.service = configured
        self.zone = zone
        self.settings = settings
        self.rng = rng
        self.views: dict[str, target_view.TargetView] = {}
        self.draining: frozenset[str] = frozenset()
        self.emptied_zones = zones_to_avoid or emptied_zones.EmptiedZones(0)
        self.baselines: dict[str, latency.Baseline] = {}
        self.cached_routing_set: list[target_view.TargetView] = []
        self.refreshed_at: float = -1

    def configure(
        self,
        configured: service.Service,
        targets: abc.Iterable[target.Target],
    ) -> None:
        """Apply the active configuration.

        Targets whose address is unchanged keep their evidence.
        """
        configured_targets = {
            target_object.name: target_object for target_object in targets
        }
        self.service = configured
        unchanged_views = {
            name: self.update_view(configured_targets[name], view)
            for name, view in self.views.items()
            if name in configured_targets
            and self.has_same_address(configured_targets[name], view)
        }
        new_views = {
            name: self.create_view(configured_target)
            for name, configured_target in configured_targets.items()
            if name not in unchanged_views
        }
        self.views = unchanged_views | new_views
        self.draining = frozenset(
            name
            for name, configured_target in configured_targets.items()
            if configured_target.state == 'draining'
        )
        self.refreshed_at = -1

    def has_same_address(
        self, configured_target: target.Target, view: target_view.TargetView
    ) -> bool:
        """Return whether a target still has the same address and port."""
        return (configured_target.address, configured_target.port) == (
            view.target.address,
            view.target.port,
        )

    def update_view(
        self, configured_target: target.Target, view: target_view.TargetView
    ) -> target_view.TargetView:
        """Update a view from the configuration and return it."""
        view.target = configured_target
        view.slots = self.service.slots
        return view

    def create_view(self, configured: target.Target) -> target_view.TargetView:
        """Return the view of a new target."""
        return target_view.TargetView(
            target=configured,
            slots=self.service.slots,
            counts=result_counts.SlidingWindow(self.settings.window_seconds),
            concurrency_limit=self.service.slots,
        )

    def baseline(self, route: str) -> latency.Baseline:
        """Return the baseline latency of a route."""
        baseline = self.baselines.get(route)
        if baseline is None:
            baseline = latency.Baseline()
            self.baselines[route] = baseline
        return baseline

    def slow_threshold(self, route: str) -> float:
        """Return the time above which an answer is slow, in seconds."""
        min_seconds = self.settings.slow_ms / MILLISECONDS_PER_SECOND
        return self.baseline(route).slow_threshold(
            self.settings.slow_factor, min_seconds
        )

    def apply_ejection_state(
        self, new_state: ejection_state.EjectionState, now: float
    ) -> bool:
        """Apply an ejection state of the fleet if it is newer.

        Returns:
            Whether it was applied.
        """
        view = self.views.get(new_state.target)
        if view is None:
            return False
        if not is_newer(view.fleet_state, new_state):
            return False
        view.fleet_state = new_state
        view.fleet_state_at = now
        self.refreshed_at = -1
        return True

    def routing_set(self, now: float) -> list[target_view.TargetView]:
        """Return the targets that take new requests, limited by the floor."""
        if now - self.refreshed_at < REFRESH_SECONDS and self.refreshed_at >= 0:
            return self.cached_routing_set
        names = capacity_floor.select_routing_set(
            [self.target_capacity(view, now) for view in self.views.values()],
            self.service.floor,
        )
        self.cached_routing_set = [self.views[name] for name in sorted(names)]
        self.refreshed_at = now
        return self.cached_routing_set

    def target_capacity(
        self, view: target_view.TargetView, now: float
    ) -> capacity_floor.TargetCapacity:
        """Return the capacity and availability of a target."""
        name = view.target.name
        is_ejected = view.is_ejected() or view.is_avoided(now)
        return capacity_floor.TargetCapacity(
            name=name,
            slots=view.slots,
            is_unavailable=name in self.draining
            or now < view.draining_until
            or self.emptied_zones.is_closed(view.target.zone, now),
            ejected=is_ejected,
            fault_score=view.fault_score(now) if is_ejected else 0,
        )

    def pick(
        self, now: float, excluded: abc.Set[str]
    ) -> target_view.TargetView | None:
        """Select a target with capacity, the cheaper of two random ones.

        Args:
            now: Seconds on the monotonic clock.
            excluded: Names of targets that the request has already tried.

        Returns:
            The target, or None if no target has capacity.
        """
        eligible = [
            view
            for view in self.routing_set(now)
            if view.has_capacity(now)
            and view.target.name not in excluded
            and self.is_within_return_share(view, now)
        ]
        avoided_zones = self.emptied_zones.draw_avoided(now, self.rng)
        if avoided_zones:
            eligible = [
                view
                for view in eligible
                if view.target.zone not in avoided_zones
            ] or eligible
        if len(eligible) > SAMPLE_SIZE:
            eligible = self.rng.sample(eligible, SAMPLE_SIZE)
        return min(eligible, key=self.cost, default=None)

    def is_within_return_share(
        self, view: target_view.TargetView, now: float
    ) -> bool:
        """Return whether a request falls into a target's return share.

        This is decided at random. A target that is not returning may take
        every request.
        """
        return_share = view.return_share(now, self.settings)
        return return_share >= 1 or self.rng.random() < return_share

    def cost(self, view: target_view.TargetView) -> float:
        """Return the cost of sending one more request to a target."""
        load = (view.outstanding + view.reported_load) / view.slots
        is_other_zone = view.target.zone != self.zone
        return load + OTHER_ZONE_COST * is_other_zone


MILLISECONDS_PER_SECOND: typing.Final = 1000


def is_newer(
    current_state: ejection_state.EjectionState | None,
    new_state: ejection_state.EjectionState,
) -> bool:
    """Return whether an ejection state is newer than the current one."""
    return current_state is None or current_state.epoch < new_state.epoch
