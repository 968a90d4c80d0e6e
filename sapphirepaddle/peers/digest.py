"""Messages that edge daemons exchange in datagrams, and their snapshots."""

import dataclasses
import typing

import xxhash

from sapphirepaddle.directory import revisions
from sapphirepaddle.peers import notices

MAX_AGE_TENTHS: typing.Final = 65535
"""Maximum of an age in a digest, in tenths of a second: the 16-bit maximum."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCount:
    """Results that one daemon has had from a target since it started.

    Attributes:
        target: Hash of the target's name.
        good: Good results, modulo 65,536.
        bad: Bad results, modulo 65,536.
        running: Requests of the daemon that are outstanding there.
    """

    target: int
    good: int
    bad: int
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class AccountCount:
    """Requests of an account that one daemon admitted since it started.

    Attributes:
        account: Hash of the account's name.
        admitted: Number of admitted requests, modulo 65,536.
    """

    account: int
    admitted: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCount:
    """Requests and retries of one daemon for a service since it started.

    Attributes:
        service: Hash of the service's name.
        requests: Requests of callers, modulo 65,536.
        repeats: Attempts beyond the first of a request, modulo 65,536.
    """

    service: int
    requests: int
    repeats: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Digest:
    """Changed counts of one daemon.

    Attributes:
        sender: Hash of the daemon's VM name.
        start: Lower 32 bits of the daemon's incarnation.
        is_forwarded: Whether the receiver forwards it within its zone.
        is_leaving: Whether the daemon is shutting down.
        version: Configuration version that the daemon has in force.
        contact_age: Tenths of a second since when the daemon has had contact
            with the source, from 1 to MAX_AGE_TENTHS; 0 while it has none.
        verified_age: Tenths of a second since the first answer of its newest
            run of answers (see `answer_runs.AnswerRuns`), rounded up; at most
            MAX_AGE_TENTHS.
        answer_age: Tenths of a second since the source last answered it,
            rounded up; at most MAX_AGE_TENTHS.
        targets_mark: Fingerprint of the registrations that the daemon
            knows; 0 for none.
        targets: Counts by target.
        accounts: Counts by account.
        services: Counts by service.
        zones_mark: Fingerprint of the emptied zones that the daemon knows; 0
            for none.
    """

    sender: int
    start: int
    is_forwarded: bool = False
    is_leaving: bool = False
    version: int = 0
    contact_age: int = MAX_AGE_TENTHS
    verified_age: int = MAX_AGE_TENTHS
    answer_age: int = MAX_AGE_TENTHS
    targets_mark: int = 0
    targets: tuple[TargetCount, ...] = ()
    accounts: tuple[AccountCount, ...] = ()
    services: tuple[ServiceCount, ...] = ()
    zones_mark: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Bundle:
    """Digests of several daemons that a hub forwards in one datagram.

    Attributes:
        digests: The digests, in order of arrival.
    """

    digests: tuple[Digest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingTarget:
    """A target that stated in an answer that it is shutting down.

    Attributes:
        target: Hash of the target's name.
        incarnation: Start time of the target.
    """

    target: int
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Targets that state that they are shutting down.

    Attributes:
        targets: The targets.
        is_forwarded: Whether the receiver forwards it within its zone.
    """

    targets: tuple[LeavingTarget, ...]
    is_forwarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RegistrationChange:
    """A changed registration as the source served it.

    Attributes:
        name: Name of the target.
        content: JSON text of the registration; empty if it was removed.
    """

    name: str
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RegistrationChanges:
    """Changes of registrations that a reader relays to its zone.

    The changes of one call may be split over several messages, which follow
    each other by their fingerprints.

    Attributes:
        base_fingerprint: Fingerprint of the registrations before the changes.
        revision: Revision of the source after all changes of the call.
        is_last: Whether no further message contains changes of the call.
        changes: The changes, in order.
    """

    base_fingerprint: int
    revision: revisions.Revision
    is_last: bool
    changes: tuple[RegistrationChange, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """Introduction of a daemon.

    Attributes:
        name: Name of the daemon's VM.
        zone: Availability zone of the VM.
        host: IP address of the VM.
        incarnation: Start time of the daemon in milliseconds.
        is_answer: Whether this is an answer, which is not answered in turn.
        is_forwarded: Whether the receiver forwards it within its zone.
    """

    name: str
    zone: str
    host: str
    incarnation: int
    is_answer: bool = False
    is_forwarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State of a daemon as last read from the source.

    Attributes:
        configuration: Encoded configuration; empty if unknown.
        targets: Encoded registrations by name.
        members: Introductions of the known daemons.
        targets_revision: Revision of the source that the registrations
            reflect; NOTHING_READ if unknown.
        zones: The emptied zones.
        zones_revision: Revision of the source that these reflect;
            NOTHING_READ if unknown.
    """

    configuration: bytes
    targets: bytes
    members: tuple[Hello, ...]
    targets_revision: revisions.Revision
    zones: tuple[notices.EmptiedZone, ...] = ()
    zones_revision: revisions.Revision = revisions.NOTHING_READ


Body = (
    Digest
    | Hello
    | Bundle
    | LeavingNotice
    | RegistrationChanges
    | notices.ZoneState
    | notices.ColdNotice
    | notices.QuotaLevels
)


def hash_name(name: str) -> int:
    """Return the 32-bit hash that stands for a name in datagrams."""
    return xxhash.xxh32_intdigest(name.encode())
