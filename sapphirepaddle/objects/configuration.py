"""The configuration in force at one revision."""

import dataclasses
import typing

from sapphirepaddle import codes, errors
from sapphirepaddle.objects import (
    availability_zone,
    change,
    client_account,
    key,
    kinds,
    route,
    service,
    target,
)


@dataclasses.dataclass(slots=True)
class Configuration:
    """All configuration objects by kind and name.

    Attributes:
        revision: Revision of the last change applied; 0 for none.
        services: Services by name.
        targets: Targets by name.
        routes: Routes by name.
        accounts: Client accounts by name.
        keys: Keys by digest.
        zones: Availability zones by name.
    """

    revision: int = 0
    services: dict[str, service.Service] = dataclasses.field(
        default_factory=dict,
    )
    targets: dict[str, target.Target] = dataclasses.field(default_factory=dict)
    routes: dict[str, route.Route] = dataclasses.field(default_factory=dict)
    accounts: dict[str, client_account.ClientAccount] = dataclasses.field(
        default_factory=dict,
    )
    keys: dict[str, key.Key] = dataclasses.field(default_factory=dict)
    zones: dict[str, availability_zone.AvailabilityZone] = dataclasses.field(
        default_factory=dict,
    )

    def objects_of_kind(self, kind: str) -> dict[str, typing.Any]:
        """Return the objects of a kind by name.

        Raises:
            ConfigurationError: If no such kind exists.
        """
        tables: dict[str, dict[str, typing.Any]] = {
            'service': self.services,
            'target': self.targets,
            'route': self.routes,
            'client_account': self.accounts,
            'key': self.keys,
            'availability_zone': self.zones,
        }
        found = tables.get(kind)
        if found is None:
            raise errors.ConfigurationError(
                codes.OBJECT_INVALID,
                f'unknown kind {kind!r}',
            )
        return found

    def parse_change(self, entry: change.Change) -> 'ParsedChange':
        """Validate the objects of a change without applying them.

        Raises:
            ConfigurationError: If an object or a reference is invalid.
        """
        parsed = ParsedChange(
            objects=[
                (put.kind, kinds.find(put.kind).parse(put.body))
                for put in entry.puts
            ],
            deletes=list(entry.deletes),
        )
        for removal in parsed.deletes:
            self.objects_of_kind(removal.kind)
        for kind, instance in parsed.objects:
            self.check_key_not_restored(kind, instance)
        return parsed

    def check_key_not_restored(self, kind: str, instance: typing.Any) -> None:
        """Refuse a change that gives a withdrawn key again.

        Raises:
            ConfigurationError: If it does.
        """
        if kind != 'key':
            return
        held = self.keys.get(instance.name)
        if held and held.withdrawn and not instance.withdrawn:
            raise errors.ConfigurationError(
                codes.KEY_RESTORED,
                f'key {instance.name[:8]}',
            )

    def apply(self, entry: change.Change) -> 'ParsedChange':
        """Apply the next change as a whole or not at all.

        Args:
            entry: The change; its revision is one above this revision.

        Returns:
            What was changed.

        Raises:
            ConfigurationError: If it is not the next one or is invalid.
        """
        if entry.revision != self.revision + 1:
            raise errors.ConfigurationError(
                codes.CHANGE_UNREADABLE,
                f'revision {entry.revision} after {self.revision}',
            )
        parsed = self.parse_change(entry)
        for removal in parsed.deletes:
            self.remove(removal)
        for kind, instance in parsed.objects:
            self.objects_of_kind(kind)[instance.name] = instance
        self.revision = entry.revision
        return parsed

    def remove(self, removal: change.Delete) -> None:
        """Delete an object; a deleted key stays known as withdrawn."""
        table = self.objects_of_kind(removal.kind)
        held = table.pop(removal.name, None)
        if held is not None and removal.kind == 'key':
            table[removal.name] = dataclasses.replace(held, withdrawn=True)


@dataclasses.dataclass(slots=True)
class ParsedChange:
    """The validated content of a change.

    Attributes:
        objects: Pairs of kind and object.
        deletes: Objects to delete.
    """

    objects: list[tuple[str, kinds.ConfigurationObject]]
    deletes: list[change.Delete]

    def touched_kinds(self) -> frozenset[str]:
        """Return the kinds that the change touches."""
        return frozenset(kind for kind, _ in self.objects) | frozenset(
            removal.kind for removal in self.deletes
        )
