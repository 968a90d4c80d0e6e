"""What a change does to floors and quotas."""

import dataclasses

from sapphirepaddle.objects import configuration


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FloorEffect:
    """Slots of a service that take new work.

    Attributes:
        service: Name of the service.
        slots: All its slots after the change.
        before: Slots that take new work before.
        after: Slots that take new work after.
        floor: Slots that must take new work.
    """

    service: str
    slots: int
    before: int
    after: int
    floor: float

    @property
    def is_broken(self) -> bool:
        """Tell whether the change pushes the service below its floor."""
        return self.after < self.floor and self.after < self.before


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaEffect:
    """Room of a client account.

    Attributes:
        account: Name of the client account.
        rate_before: Requests a second before; 0 if it is new.
        rate_after: Requests a second after; 0 if it is deleted.
        burst_before: Requests at once before.
        burst_after: Requests at once after.
    """

    account: str
    rate_before: float
    rate_after: float
    burst_before: float
    burst_after: float


def available_slots(
    current: configuration.Configuration,
    service: str,
    ejected: frozenset[str],
) -> int:
    """Return the slots of a service that take new work.

    Args:
        current: A configuration.
        service: Name of the service.
        ejected: Targets that the fleet ejected.
    """
    held = current.services.get(service)
    if held is None:
        return 0
    emptied = {
        zone.name for zone in current.zones.values() if zone.state == 'emptied'
    }
    working = [
        target
        for target in current.targets.values()
        if target.service == service
        and target.state == 'active'
        and target.zone not in emptied
        and target.name not in ejected
    ]
    return len(working) * held.slots


def floor_effects(
    before: configuration.Configuration,
    after: configuration.Configuration,
    ejected: frozenset[str],
) -> list[FloorEffect]:
    """Return the effect of a change on each service that it touches.

    Args:
        before: Configuration in force.
        after: Configuration after the change.
        ejected: Targets that the fleet ejected.
    """
    effects = [
        floor_effect(before, after, name, ejected)
        for name in sorted(after.services)
    ]
    return [effect for effect in effects if effect.before != effect.after]


def floor_effect(
    before: configuration.Configuration,
    after: configuration.Configuration,
    name: str,
    ejected: frozenset[str],
) -> FloorEffect:
    """Return the effect of a change on one service."""
    held = after.services[name]
    count = sum(target.service == name for target in after.targets.values())
    slots = count * held.slots
    return FloorEffect(
        service=name,
        slots=slots,
        before=available_slots(before, name, ejected),
        after=available_slots(after, name, ejected),
        floor=slots * held.floor,
    )


def quota_effects(
    before: configuration.Configuration,
    after: configuration.Configuration,
) -> list[QuotaEffect]:
    """Return the effect of a change on each account that it touches."""
    names = sorted(before.accounts.keys() | after.accounts.keys())
    return [
        quota_effect(before, after, name)
        for name in names
        if before.accounts.get(name) != after.accounts.get(name)
    ]


def quota_effect(
    before: configuration.Configuration,
    after: configuration.Configuration,
    name: str,
) -> QuotaEffect:
    """Return the effect of a change on one account."""
    old = before.accounts.get(name)
    new = after.accounts.get(name)
    return QuotaEffect(
        account=name,
        rate_before=old.rate if old else 0,
        rate_after=new.rate if new else 0,
        burst_before=old.burst if old else 0,
        burst_after=new.burst if new else 0,
    )
