"""Messages about emptied zones, targets that turned cold, and quotas."""

import dataclasses
import typing

from sapphirepaddle.directory import revisions

MAX_ZONE_AGE_MS: typing.Final = 3600000
"""Maximum of the age of an emptied zone, in milliseconds; it is longer than the
load of any zone takes to move."""


@dataclasses.dataclass(frozen=True, slots=True)
class EmptiedZone:
    """An availability zone that operators emptied.

    Attributes:
        name: Name of the zone.
        age_ms: Time for which it has been emptied, in milliseconds, at most
            MAX_ZONE_AGE_MS.
    """

    name: str
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneState:
    """All zones that are emptied.

    Attributes:
        revision: Revision of the source that this reflects.
        zones: The emptied zones.
        is_forwarded: Whether the receiver forwards it within its zone.
    """

    revision: revisions.Revision
    zones: tuple[EmptiedZone, ...]
    is_forwarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ColdTarget:
    """A target that turned cold without a restart.

    Attributes:
        target: Hash of the target's name.
        incarnation: Start time of the target.
        warmup_ms: Time for which it stays cold, in milliseconds.
    """

    target: int
    incarnation: int
    warmup_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ColdNotice:
    """Targets that turned cold.

    Attributes:
        targets: The targets.
    """

    targets: tuple[ColdTarget, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AccountLevel:
    """Tokens left of a client account.

    Attributes:
        account: Hash of the account's name.
        tokens: Tokens in its bucket; negative in debt.
    """

    account: int
    tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLevels:
    """Tokens left of client accounts, for a daemon that starts.

    Attributes:
        levels: The accounts, those in use first.
    """

    levels: tuple[AccountLevel, ...]
