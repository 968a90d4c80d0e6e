"""The configuration that this daemon currently applies."""

import typing
from collections import abc

from sapphirepaddle import errors
from sapphirepaddle.gateway import route_table
from sapphirepaddle.objects import change, configuration, key

ChangeListener = abc.Callable[[frozenset[str]], None]
ALL_KINDS: typing.Final = frozenset(
    ('service', 'target', 'route', 'client_account', 'key'),
)


class ActiveConfiguration:
    """The active configuration; its revision never decreases.

    Attributes:
        configuration: Services, targets, routes, client accounts and keys.
        routes: Index of the routes by path prefix.
        withdrawn_digests: Digests of keys whose withdrawal arrived before
            the change that records it.
        listeners: Called with the changed object kinds after each change.
        unreadable_changes: Number of changes that could not be parsed.
    """

    def __init__(self) -> None:
        """Initialize with an empty configuration at revision 0."""
        self.configuration = configuration.Configuration()
        self.routes = route_table.RouteTable(())
        self.withdrawn_digests: set[str] = set()
        self.listeners: list[ChangeListener] = []
        self.unreadable_changes = 0

    @property
    def revision(self) -> int:
        """Return the revision in force; 0 if there is none."""
        return self.configuration.revision

    def apply(self, new_change: change.Change) -> bool:
        """Apply a change if its revision directly follows this one.

        Returns:
            Whether the change was applied; an older change, or one after
            a gap, is not.

        Raises:
            ConfigurationError: If the next change cannot be parsed; the
                active configuration is kept.
        """
        if new_change.revision != self.revision + 1:
            return False
        try:
            parsed_change = self.configuration.apply(new_change)
        except errors.ConfigurationError:
            self.unreadable_changes += 1
            raise
        self.notify_changed(parsed_change.touched_kinds())
        return True

    def replace(self, new_configuration: configuration.Configuration) -> bool:
        """Replace the whole configuration if the new one has a higher revision.

        Withdrawn keys that the new configuration no longer contains stay
        withdrawn.

        Returns:
            Whether the configuration was replaced.
        """
        if new_configuration.revision <= self.revision:
            return False
        withdrawn_digests = {
            stored_key.name
            for stored_key in self.configuration.keys.values()
            if stored_key.withdrawn
        }
        self.withdrawn_digests |= (
            withdrawn_digests - new_configuration.keys.keys()
        )
        self.configuration = new_configuration
        self.notify_changed(ALL_KINDS)
        return True

    def notify_changed(self, touched_kinds: frozenset[str]) -> None:
        """Rebuild the route table if needed and call the listeners."""
        if 'route' in touched_kinds:
            self.routes = route_table.RouteTable(
                self.configuration.routes.values()
            )
        for listener in self.listeners:
            listener(touched_kinds)

    def withdraw_key(self, digest: str) -> None:
        """Reject a key at once, before the change that withdraws it."""
        self.withdrawn_digests.add(digest)

    def find_key(self, digest: str) -> key.Key | None:
        """Return the key with a digest; None if it does not exist.

        The key counts as withdrawn as soon as either the configuration
        change or the gossiped withdrawal arrived.
        """
        stored_key = self.configuration.keys.get(digest)
        if (
            stored_key is None
            or stored_key.withdrawn
            or digest not in self.withdrawn_digests
        ):
            return stored_key
        return key.Key(name=digest, account=stored_key.account, withdrawn=True)
