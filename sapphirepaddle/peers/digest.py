"""What daemons tell each other in datagrams."""

import dataclasses
import typing

import xxhash

LONG_AGO: typing.Final = 65535
"""Age of what never was lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCount:
    """Results that one daemon saw of a target since its own start.

    Attributes:
        target: Hash of the target's name.
        good: Good results, modulo 65,536.
        bad: Bad results, modulo 65,536.
        running: Requests that run there now.
    """

    target: int
    good: int
    bad: int
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class AccountCount:
    """Requests that one daemon admitted of an account since its start.

    Attributes:
        account: Hash of the account's name.
        admitted: Their number.
    """

    account: int
    admitted: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCount:
    """Requests and repeats of one daemon for a service since its start.

    Attributes:
        service: Hash of the service's name.
        requests: Requests of callers.
        repeats: Sends beyond the first of a request.
    """

    service: int
    requests: int
    repeats: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Digest:
    """Counts of one daemon that changed.

    Attributes:
        sender: Hash of the daemon's VM name.
        start: Its incarnation, the lower 32 bits.
        is_forwarded: Whether the receiver hands it on in its zone.
        is_leaving: Whether the daemon stops.
        version: Version of the configuration in force there.
        contact_age: Tenths of a second since its contact with the source
            came back; 0 while it is lost, the maximum if it never was.
        targets_mark: Fingerprint of the registrations it knows; 0 for none.
        targets: Counts by target.
        accounts: Counts by account.
        services: Counts by service.
    """

    sender: int
    start: int
    is_forwarded: bool = False
    is_leaving: bool = False
    version: int = 0
    contact_age: int = LONG_AGO
    targets_mark: int = 0
    targets: tuple[TargetCount, ...] = ()
    accounts: tuple[AccountCount, ...] = ()
    services: tuple[ServiceCount, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Bundle:
    """Digests of several daemons, sent on together.

    Attributes:
        digests: The digests.
    """

    digests: tuple[Digest, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """A daemon introduces itself.

    Attributes:
        name: Name of its VM.
        zone: Its availability zone.
        host: Its IP address.
        incarnation: Time of its start in milliseconds.
        is_answer: Whether it wants no answer.
        is_forwarded: Whether the receiver hands it on in its zone.
    """

    name: str
    zone: str
    host: str
    incarnation: int
    is_answer: bool = False
    is_forwarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """What a daemon knows, as the source served it.

    Attributes:
        configuration: The configuration, encoded; empty if unknown.
        targets: Registrations by name, encoded.
        members: The daemons of the fleet.
    """

    configuration: bytes
    targets: bytes
    members: tuple[Hello, ...]


Body = Digest | Hello | Bundle


def hash_name(name: str) -> int:
    """Return the hash by which a name is sent."""
    return xxhash.xxh32_intdigest(name.encode())
