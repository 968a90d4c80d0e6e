"""Where objects of the fleet are read and written; the contract."""

import abc
import dataclasses
import typing

Content = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One object.

    Attributes:
        name: Its name.
        content: What it holds; None if it was removed.
    """

    name: str
    content: Content | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Objects of one kind.

    Attributes:
        revision: Revision of the source that the objects are of.
        entries: All objects, or those that changed.
    """

    revision: int
    entries: list[Entry]


class Source(abc.ABC):
    """Objects by kind and name.

    All calls raise SourceError if the source does not answer or refuses.

    Attributes:
        calls: Calls made so far.
    """

    calls = 0

    @abc.abstractmethod
    async def list_all(self, kind: str, is_stale_allowed: bool) -> ReadResult:
        """Return all objects of a kind.

        Args:
            kind: Kind of object.
            is_stale_allowed: Whether an answer may lag by seconds.
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
            revision: Changes up to this one are known.
            seconds: Longest wait.
            is_stale_allowed: Whether changes may come seconds late, for a
                lower price.

        Raises:
            HistoryLostError: If changes since the revision are gone.
        """

    @abc.abstractmethod
    async def put(self, kind: str, entry: Entry) -> None:
        """Create or replace an object."""

    @abc.abstractmethod
    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; a missing one is no error."""
