"""Interface for reading and writing the objects of the fleet."""

import abc
import dataclasses
import typing

Content = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One object or its removal.

    Attributes:
        name: Name of the object.
        content: Decoded content; None if the object was removed.
    """

    name: str
    content: Content | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of a list or watch call.

    Attributes:
        revision: Revision of the source that the whole result reflects, from
            which a watch misses nothing.
        entries: All objects of a list, or the changes of a watch.
        newest_revision: Revision that some part of a list reflects, if it was
            read in several parts and a newer one than the whole; 0 otherwise.
    """

    revision: int
    entries: list[Entry]
    newest_revision: int = 0


class Source(abc.ABC):
    """Store of objects by kind and name.

    All calls raise SourceError if the source does not answer or refuses the
    call.

    Attributes:
        calls: Number of calls made.
    """

    calls = 0

    @abc.abstractmethod
    async def list_all(self, kind: str, is_stale_allowed: bool) -> ReadResult:
        """Return all objects of a kind.

        Args:
            kind: Kind of object.
            is_stale_allowed: Whether the answer may be seconds old.
        """

    @abc.abstractmethod
    async def watch(
        self,
        kind: str,
        revision: int,
        seconds: float,
        is_stale_allowed: bool,
    ) -> ReadResult:
        """Wait for changes after a revision.

        Args:
            kind: Kind of object.
            revision: Revision up to which changes are already known.
            seconds: Maximum time to wait.
            is_stale_allowed: Whether changes may arrive seconds late, which
                costs less.

        Raises:
            HistoryLostError: If the source no longer keeps the changes since
                the revision.
        """

    @abc.abstractmethod
    async def put(self, kind: str, entry: Entry) -> None:
        """Create or replace an object."""

    @abc.abstractmethod
    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; a missing one is no error."""
