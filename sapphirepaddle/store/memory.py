"""In-memory object store for tests and the platform stand-in."""

import asyncio
import itertools

from sapphirepaddle import errors
from sapphirepaddle.store import object_store, stored_object, vm

MAX_PAGE_OBJECTS = 500


class MemoryStore(object_store.ObjectStore):
    """Object store that keeps its objects in a dictionary.

    Attributes:
        objects: Stored objects by key in order of their last write, including
            deleted ones.
        version: Version of the last write.
        vms: VMs that list_vms() returns.
        changed: Condition notified at each write.
    """

    def __init__(self) -> None:
        """Initialize an empty store."""
        self.objects: dict[str, stored_object.StoredObject] = {}
        self.version = 0
        self.vms: list[vm.Vm] = []
        self.changed = asyncio.Condition()

    async def read(self, key: str) -> stored_object.StoredObject | None:
        """Return the object, or None if it does not exist or was deleted."""
        entry = self.objects.get(key)
        return entry if entry and entry.body is not None else None

    async def write(
        self,
        key: str,
        body: bytes,
        expected: int,
    ) -> stored_object.StoredObject:
        """Write the object if it has the expected version."""
        return await self.write_if_version(key, body, expected)

    async def delete(self, key: str, expected: int) -> None:
        """Delete the object if it has the expected version."""
        await self.write_if_version(key, None, expected)

    async def write_if_version(
        self,
        key: str,
        body: bytes | None,
        expected: int,
    ) -> stored_object.StoredObject:
        """Check the version, store the body and notify pending watches.

        A body of None marks the object as deleted.

        Raises:
            VersionConflictError: If the object has another version.
        """
        current = await self.read(key)
        version = current.version if current else 0
        if version != expected:
            raise errors.VersionConflictError(f'{key} has version {version}')
        self.version += 1
        entry = stored_object.StoredObject(key, body, self.version)
        self.objects.pop(key, None)
        self.objects[key] = entry
        async with self.changed:
            self.changed.notify_all()
        return entry

    async def list_page(
        self, prefix: str, after: str
    ) -> list[stored_object.StoredObject]:
        """Return a page of objects under a prefix, ordered by key."""
        entries = sorted(
            (
                entry
                for entry in self.objects.values()
                if entry.key.startswith(prefix)
                and entry.key > after
                and entry.body is not None
            ),
            key=lambda entry: entry.key,
        )
        return entries[:MAX_PAGE_OBJECTS]

    def newer_than(
        self, prefix: str, since: int
    ) -> list[stored_object.StoredObject]:
        """Return objects under a prefix newer than a version, by version."""
        recent = itertools.takewhile(
            lambda entry: entry.version > since,
            reversed(self.objects.values()),
        )
        entries = [entry for entry in recent if entry.key.startswith(prefix)]
        entries.reverse()
        return entries

    async def watch(
        self,
        prefix: str,
        since: int,
        timeout: float,
    ) -> list[stored_object.StoredObject]:
        """Wait for objects under a prefix that are newer than a version.

        Returns an empty list after the timeout.
        """
        try:
            async with asyncio.timeout(timeout), self.changed:
                await self.changed.wait_for(
                    lambda: self.newer_than(prefix, since)
                )
        except TimeoutError:
            return []
        return self.newer_than(prefix, since)

    async def list_vms(self) -> list[vm.Vm]:
        """Return the list of VMs."""
        return list(self.vms)
