"""The configuration in force at this daemon."""

import typing
from collections import abc

from sapphirepaddle import errors
from sapphirepaddle.gateway import routes
from sapphirepaddle.objects import change, configuration, key

Listener = abc.Callable[[frozenset[str]], None]
ALL_KINDS: typing.Final = frozenset(
    ('service', 'target', 'route', 'client_account', 'key'),
)


class InForce:
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
        self.routes = routes.RouteTable(())
        self.withdrawn: set[str] = set()
        self.listeners: list[Listener] = []
        self.unreadable = 0

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
            self.unreadable += 1
            raise
        self.refresh(parsed.touched())
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
        self.withdrawn |= withdrawn - newer.keys.keys()
        self.configuration = newer
        self.refresh(ALL_KINDS)
        return True

    def refresh(self, touched: frozenset[str]) -> None:
        """Rebuild what depends on touched kinds and tell listeners."""
        if 'route' in touched:
            self.routes = routes.RouteTable(self.configuration.routes.values())
        for listener in self.listeners:
            listener(touched)

    def withdraw(self, digest: str) -> None:
        """Stop a key at once, before its change arrives."""
        self.withdrawn.add(digest)

    def find_key(self, digest: str) -> key.Key | None:
        """Return a key, marked withdrawn by whichever news came first."""
        held = self.configuration.keys.get(digest)
        if held is None or held.withdrawn or digest not in self.withdrawn:
            return held
        return key.Key(name=digest, account=held.account, withdrawn=True)
