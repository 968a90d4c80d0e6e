"""Interface for reading and writing the objects of the fleet."""

import abc
import dataclasses
import typing

from sapphirepaddle.directory import revisions, source_era

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
            read in several parts and a newer one than the whole.
    """

    revision: revisions.Revision
    entries: list[Entry]
    newest_revision: revisions.Revision = revisions.NOTHING_READ


class Source(abc.ABC):
    """Store of objects by kind and name.

    All calls raise SourceError if the source does not answer or refuses the
    call, and OutdatedAnswerError if the answer is of an older era than one
    that is known; such an answer is not used.

    Attributes:
        calls: Number of calls made.
        era: Newest known era, learned from each answer.
    """

    def __init__(self) -> None:
        """Initialize without calls and without a known era."""
        self.calls = 0
        self.era = source_era.SourceEra()

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
        revision: revisions.Revision,
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
                the revision, or has returned from an older copy, which does
                not have that history.
        """

    @abc.abstractmethod
    async def create(self, kind: str, entry: Entry) -> bool:
        """Create an object; return whether it did not exist before."""

    @abc.abstractmethod
    async def put(self, kind: str, entry: Entry) -> None:
        """Create or replace an object."""

    @abc.abstractmethod
    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; a missing one is no error."""
