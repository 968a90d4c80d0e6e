"""The configuration at one revision of the change log."""

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
        revision: Revision of the last applied change; 0 if there is none.
        services: Services by name.
        targets: Targets by name.
        routes: Routes by name.
        accounts: Client accounts by name.
        keys: API keys by digest.
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
            ConfigurationError: If the kind is unknown.
        """
        objects_by_kind: dict[str, dict[str, typing.Any]] = {
            'service': self.services,
            'target': self.targets,
            'route': self.routes,
            'client_account': self.accounts,
            'key': self.keys,
            'availability_zone': self.zones,
        }
        objects = objects_by_kind.get(kind)
        if objects is None:
            raise errors.ConfigurationError(
                codes.OBJECT_INVALID,
                f'unknown kind {kind!r}',
            )
        return objects

    def parse_change(self, entry: change.Change) -> 'ParsedChange':
        """Validate the objects of a change without applying them.

        Raises:
            ConfigurationError: If an object or a kind is invalid, or a
                withdrawn key would be restored.
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
        """Check that an object does not restore a withdrawn key.

        Raises:
            ConfigurationError: If it is a withdrawn key that is not marked
                as withdrawn.
        """
        if kind != 'key':
            return
        current_key = self.keys.get(instance.name)
        if current_key and current_key.withdrawn and not instance.withdrawn:
            raise errors.ConfigurationError(
                codes.KEY_RESTORED,
                f'key {instance.name[:8]}',
            )

    def apply(self, entry: change.Change) -> 'ParsedChange':
        """Apply the next change atomically.

        Args:
            entry: The change; its revision must be the current one plus 1.

        Returns:
            The validated content of the change.

        Raises:
            ConfigurationError: If the change is not the next one or is
                invalid.
        """
        if entry.revision != self.revision + 1:
            raise errors.ConfigurationError(
                codes.CHANGE_UNREADABLE,
                f'got revision {entry.revision} after revision {self.revision}',
            )
        parsed = self.parse_change(entry)
        for removal in parsed.deletes:
            self.remove(removal)
        for kind, instance in parsed.objects:
            self.objects_of_kind(kind)[instance.name] = instance
        self.revision = entry.revision
        return parsed

    def remove(self, removal: change.Delete) -> None:
        """Delete an object; a deleted key is kept as withdrawn.

        This prevents the key from being added again.
        """
        objects = self.objects_of_kind(removal.kind)
        deleted = objects.pop(removal.name, None)
        if deleted is not None and removal.kind == 'key':
            objects[removal.name] = dataclasses.replace(deleted, withdrawn=True)


@dataclasses.dataclass(slots=True)
class ParsedChange:
    """The validated content of a change.

    Attributes:
        objects: Pairs of the kind and the object to put.
        deletes: Objects to delete.
    """

    objects: list[tuple[str, kinds.ConfigurationObject]]
    deletes: list[change.Delete]

    def touched_kinds(self) -> frozenset[str]:
        """Return the kinds of the objects that the change modifies."""
        return frozenset(kind for kind, _ in self.objects) | frozenset(
            removal.kind for removal in self.deletes
        )
