"""The configuration in force at this daemon."""

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
    """Configuration in force, moving forward only.

    Attributes:
        configuration: The objects.
        routes: Index of the routes.
        withdrawn: Digests of keys withdrawn before their change arrived.
        listeners: Called with the touched kinds after each change.
        unreadable: Changes that could not be read.
    """

    def __init__(self) -> None:
        """Start without configuration."""
        self.configuration = configuration.Configuration()
        self.routes = route_table.RouteTable(())
        self.withdrawn_digests: set[str] = set()
        self.listeners: list[ChangeListener] = []
        self.unreadable_changes = 0

    @property
    def revision(self) -> int:
        """Return the revision in force; 0 for none."""
        return self.configuration.revision

    def apply(self, entry: change.Change) -> bool:
        """Apply a change if it is the next one.

        Returns:
            Whether it was applied; an older or a later one is not.

        Raises:
            ConfigurationError: If it is the next one but cannot be read;
                the version in force is kept.
        """
        if entry.revision != self.revision + 1:
            return False
        try:
            parsed = self.configuration.apply(entry)
        except errors.ConfigurationError:
            self.unreadable_changes += 1
            raise
        self.notify_changed(parsed.touched_kinds())
        return True

    def replace(self, newer: configuration.Configuration) -> bool:
        """Take up a whole configuration if it is newer.

        Returns:
            Whether it was taken up.
        """
        if newer.revision <= self.revision:
            return False
        withdrawn = {
            held.name
            for held in self.configuration.keys.values()
            if held.withdrawn
        }
        self.withdrawn_digests |= withdrawn - newer.keys.keys()
        self.configuration = newer
        self.notify_changed(ALL_KINDS)
        return True

    def notify_changed(self, touched: frozenset[str]) -> None:
        """Rebuild what depends on touched kinds and tell listeners."""
        if 'route' in touched:
            self.routes = route_table.RouteTable(
                self.configuration.routes.values()
            )
        for listener in self.listeners:
            listener(touched)

    def withdraw_key(self, digest: str) -> None:
        """Stop a key at once, before its change arrives."""
        self.withdrawn_digests.add(digest)

    def find_key(self, digest: str) -> key.Key | None:
        """Return a key, marked withdrawn by whichever news came first."""
        held = self.configuration.keys.get(digest)
        if (
            held is None
            or held.withdrawn
            or digest not in self.withdrawn_digests
        ):
            return held
        return key.Key(name=digest, account=held.account, withdrawn=True)
