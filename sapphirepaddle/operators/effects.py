"""Effects of a change on capacity floors and account quotas."""

import dataclasses

from sapphirepaddle.objects import configuration


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FloorEffect:
    """Effect of a change on the available slots of a service.

    Available slots are the slots of targets that take new requests.

    Attributes:
        service: Name of the service.
        slots: Slots of all its targets after the change.
        before: Available slots before the change.
        after: Available slots after the change.
        floor: Minimum of available slots.
    """

    service: str
    slots: int
    before: int
    after: int
    floor: float

    @property
    def is_broken(self) -> bool:
        """Return whether the change lowers the service below its floor.

        A service that is already below its floor may stay there: only a
        further decrease violates the floor.
        """
        return self.after < self.floor and self.after < self.before


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaEffect:
    """Effect of a change on the quota of a client account.

    Attributes:
        account: Name of the client account.
        rate_before: Requests per second before; 0 if the account is new.
        rate_after: Requests per second after; 0 if it is deleted.
        burst_before: Burst in requests before; 0 if the account is new.
        burst_after: Burst in requests after; 0 if it is deleted.
    """

    account: str
    rate_before: float
    rate_after: float
    burst_before: float
    burst_after: float


def available_slots(
    config: configuration.Configuration,
    service: str,
    ejected: frozenset[str],
) -> int:
    """Return the number of slots of a service that take new requests.

    Targets that are draining, ejected or in an emptied zone take none.

    Args:
        config: Configuration before or after a change.
        service: Name of the service.
        ejected: Names of the targets that the fleet ejected.
    """
    service_object = config.services.get(service)
    if service_object is None:
        return 0
    emptied_zones = {
        zone.name for zone in config.zones.values() if zone.state == 'emptied'
    }
    available_targets = [
        target
        for target in config.targets.values()
        if target.service == service
        and target.state == 'active'
        and target.zone not in emptied_zones
        and target.name not in ejected
    ]
    return len(available_targets) * service_object.slots


def floor_effects(
    before: configuration.Configuration,
    after: configuration.Configuration,
    ejected: frozenset[str],
) -> list[FloorEffect]:
    """Return the effects of a change on the available slots.

    Services whose available slots stay the same are left out.

    Args:
        before: Active configuration.
        after: Configuration after the change.
        ejected: Names of the targets that the fleet ejected.
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
    """Return the effect of a change on the slots of one service."""
    service = after.services[name]
    target_count = sum(
        target.service == name for target in after.targets.values()
    )
    slots = target_count * service.slots
    return FloorEffect(
        service=name,
        slots=slots,
        before=available_slots(before, name, ejected),
        after=available_slots(after, name, ejected),
        floor=slots * service.floor,
    )


def quota_effects(
    before: configuration.Configuration,
    after: configuration.Configuration,
) -> list[QuotaEffect]:
    """Return the effects of a change on the accounts it modifies."""
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
    """Return the effect of a change on the quota of one account."""
    old_account = before.accounts.get(name)
    new_account = after.accounts.get(name)
    return QuotaEffect(
        account=name,
        rate_before=old_account.rate if old_account else 0,
        rate_after=new_account.rate if new_account else 0,
        burst_before=old_account.burst if old_account else 0,
        burst_after=new_account.burst if new_account else 0,
    )
