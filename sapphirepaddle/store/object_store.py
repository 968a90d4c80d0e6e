"""Interface of the platform's object store."""

import abc

from sapphirepaddle.store import stored_object, vm


class ObjectStore(abc.ABC):
    """Store of versioned objects with conditional writes and watches."""

    @abc.abstractmethod
    async def read(self, key: str) -> stored_object.StoredObject | None:
        """Return the object, or None if it does not exist.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """

    @abc.abstractmethod
    async def write(
        self,
        key: str,
        body: bytes,
        expected: int,
    ) -> stored_object.StoredObject:
        """Write the object if it has the expected version.

        Args:
            key: Key of the object.
            body: New value, at most one megabyte.
            expected: Required current version; 0 if the object must not
                exist.

        Raises:
            VersionConflictError: If the object has another version.
            PlatformUnavailableError: If the platform does not answer; the
                write may have taken effect.
        """

    @abc.abstractmethod
    async def delete(self, key: str, expected: int) -> None:
        """Delete the object if it has the expected version.

        Raises:
            VersionConflictError: If it has another version.
            PlatformUnavailableError: If the platform does not answer.
        """

    @abc.abstractmethod
    async def list_page(
        self, prefix: str, after: str
    ) -> list[stored_object.StoredObject]:
        """Return a page of objects under a prefix, ordered by key.

        Args:
            prefix: Prefix of the keys.
            after: Last key of the previous page; empty for the first page.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """

    @abc.abstractmethod
    async def watch(
        self,
        prefix: str,
        since: int,
        timeout: float,
    ) -> list[stored_object.StoredObject]:
        """Wait for objects under a prefix that are newer than a version.

        Args:
            prefix: Prefix of the keys.
            since: Version before the first one to return, exclusive.
            timeout: Maximum time to wait, in seconds.

        Returns:
            The newer objects, including deleted ones, ordered by version;
            empty after the timeout.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """

    @abc.abstractmethod
    async def list_vms(self) -> list[vm.Vm]:
        """Return the list of VMs, which may lag behind the fleet.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """

    async def close(self) -> None:
        """Close connections; a store without connections does nothing."""
