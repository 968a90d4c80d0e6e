"""Contract of the platform's object API."""

import abc

from sapphirepaddle.store import stored_object, vm


class ObjectStore(abc.ABC):
    """Versioned objects with conditional updates and watches."""

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
            key: The key.
            body: The new value, at most a megabyte.
            expected: Version that the write rests on; 0 if the object must
                not exist.

        Raises:
            VersionConflictError: If it has another version.
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
            prefix: Start of the keys.
            after: Last key of the page before; empty for the first page.

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
            prefix: Start of the keys.
            since: Version after which changes are wanted.
            timeout: Seconds to wait at most.

        Returns:
            The newer objects by version; empty after the timeout.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """

    @abc.abstractmethod
    async def list_vms(self) -> list[vm.Vm]:
        """Return the lagging list of VMs.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """

    async def close(self) -> None:
        """Release connections; a store without any does nothing."""
