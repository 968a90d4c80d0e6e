"""Contact of a daemon with the source, as it reports it to others."""

import dataclasses
import math
import typing

from sapphirepaddle.peers import answer_runs, digest

TENTHS_PER_SECOND: typing.Final = 10
"""Ages are sent in tenths of a second."""


class ContactAges(typing.NamedTuple):
    """Ages of the contact of a daemon, as `digest.Digest` has them.

    Attributes:
        contact: Age of the contact.
        verified: Age of the first answer of the newest run.
        answer: Age of the last answer.
    """

    contact: int
    verified: int
    answer: int


LONG_CONTACT: typing.Final = ContactAges(
    contact=digest.MAX_AGE_TENTHS,
    verified=digest.MAX_AGE_TENTHS,
    answer=digest.MAX_AGE_TENTHS,
)
"""Ages of a long contact whose answers are not known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """Contact of another daemon with the source.

    Attributes:
        since: Monotonic time since when it has had contact, as far as it
            noticed; None while it has none.
        verified_since: Monotonic time since when no gap between its answers
            was longer than `answer_runs.MAX_ANSWER_GAP_SECONDS`.
        answered_at: Monotonic time of the source's last answer to it.
        has_failed: Whether its last call failed. It is not known of a daemon
            that never had an answer, as it may have made no call.
    """

    since: float | None
    verified_since: float
    answered_at: float
    has_failed: bool = False


def from_ages(now: float, ages: ContactAges) -> Contact:
    """Return the contact that a digest reports.

    Args:
        now: Monotonic time at which the digest arrived.
        ages: Ages in the digest.
    """
    return Contact(
        since=now - ages.contact / TENTHS_PER_SECOND if ages.contact else None,
        verified_since=now - ages.verified / TENTHS_PER_SECOND,
        answered_at=now - ages.answer / TENTHS_PER_SECOND,
        has_failed=not ages.contact and ages.answer < digest.MAX_AGE_TENTHS,
    )


def to_ages(
    now: float, contact_since: float | None, newest: answer_runs.Run | None
) -> ContactAges:
    """Return the ages that a digest reports.

    Args:
        now: Monotonic time.
        contact_since: Monotonic time since when this daemon has had contact;
            None while it has none.
        newest: Its newest run of answers; None before the first.
    """
    ages = LONG_CONTACT
    if newest is not None:
        ages = ages._replace(
            verified=limit_age((now - newest.start) * TENTHS_PER_SECOND),
            answer=limit_age((now - newest.end) * TENTHS_PER_SECOND),
        )
    if contact_since is None:
        return ages._replace(contact=0)
    contact_age = int((now - contact_since) * TENTHS_PER_SECOND)
    return ages._replace(contact=limit_age(max(contact_age, 1)))


def limit_age(tenths: float) -> int:
    """Return an age in the range of a digest, rounded up."""
    return min(math.ceil(tenths), digest.MAX_AGE_TENTHS)
