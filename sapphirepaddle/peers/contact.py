"""Contact of a daemon with the source, as it reports it to others."""

import dataclasses
import typing

TENTHS_PER_SECOND: typing.Final = 10
"""Ages are sent in tenths of a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """Contact of another daemon with the source.

    Attributes:
        reported_at: Monotonic time at which the report arrived; -inf if
            it is an assumption.
        since: Monotonic time since when it has had contact; None while it has
            none.
        answered_at: Monotonic time of the source's last answer to it.
    """

    reported_at: float
    since: float | None
    answered_at: float


def from_ages(now: float, contact_age: int, answer_age: int) -> Contact:
    """Return the contact that a digest reports.

    Args:
        now: Monotonic time at which the digest arrived.
        contact_age: Age of the contact; see `digest.Digest`.
        answer_age: Age of the last answer; see `digest.Digest`.
    """
    return Contact(
        reported_at=now,
        since=now - contact_age / TENTHS_PER_SECOND if contact_age else None,
        answered_at=now - answer_age / TENTHS_PER_SECOND,
    )
