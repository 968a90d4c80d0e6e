"""Position in the history of the source."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Revision:
    """Position in the history of the source, ordered by era first.

    A source that returns from an older copy starts a new era, in which it
    gives out numbers again. A number alone identifies no state.

    Attributes:
        era: Era of the source; 0 if the source states none.
        number: Revision counter of the source; 0 if nothing was read.
    """

    era: int
    number: int

    def __bool__(self) -> bool:
        """Return whether it is a position at which something was read."""
        return self.number > 0


NOTHING_READ: typing.Final = Revision(0, 0)
