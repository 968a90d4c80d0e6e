"""Time since the platform last answered a daemon or its peers."""

import dataclasses
import typing

from sapphirepaddle.peers import members

ANSWER_SECONDS: typing.Final = 0.5
"""Time within which the platform answers a call that waits for nothing."""
MIN_REACHABLE_RATIO = 0.5
"""Share of reachable ring neighbours below which a daemon is partitioned."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerContact:
    """Last contact with the platform that a peer reported.

    Attributes:
        age: Seconds since the platform answered the peer or its peers, at
            the time of the report.
        reported_at: Time of the report, in seconds of the monotonic clock.
    """

    age: float
    reported_at: float


class PlatformContact:
    """Tracks the contact with the platform and with peers.

    It does no input or output; callers pass the time, in seconds of the
    monotonic clock.

    Attributes:
        members: The VMs of the fleet.
        isolation_seconds: Silence after which the platform or a peer counts
            as unreachable.
        platform_answered_at: Time of the platform's last answer to this daemon.
        asked_at: Time of the first call of this daemon since that answer; None
            if it has made none.
        contacts: Last reported contact by name of the VM.
    """

    def __init__(
        self,
        fleet_members: members.Members,
        isolation_seconds: float,
        now: float,
    ) -> None:
        """Initialize as if the platform had just answered."""
        self.members = fleet_members
        self.isolation_seconds = isolation_seconds
        self.platform_answered_at = now
        self.asked_at: float | None = None
        self.contacts: dict[str, PeerContact] = {}

    def record_platform_answer(self, now: float) -> None:
        """Record an answer of the platform."""
        self.platform_answered_at = now
        self.asked_at = None

    def record_platform_call(self, now: float) -> None:
        """Record that this daemon calls the platform."""
        if self.asked_at is None:
            self.asked_at = now

    def record_heartbeat(self, name: str, age: float, now: float) -> None:
        """Record a heartbeat of a peer with its contact age in seconds."""
        self.contacts[name] = PeerContact(age, now)

    def platform_age(self, now: float) -> float:
        """Return seconds since the platform answered this daemon or a peer."""
        ages = (
            contact.age + now - contact.reported_at
            for contact in self.contacts.values()
        )
        return min(now - self.platform_answered_at, min(ages, default=now))

    def reachable_share(self, now: float) -> float:
        """Return the share of ring neighbours that are reachable."""
        neighbours = self.members.neighbours()
        reachable = [
            name for name in neighbours if self.is_reachable(name, now)
        ]
        return len(reachable) / len(neighbours) if neighbours else 1

    def is_reachable(self, name: str, now: float) -> bool:
        """Return whether a VM sent a heartbeat recently."""
        contact = self.contacts.get(name)
        return (
            contact is not None
            and now - contact.reported_at <= self.isolation_seconds
        )

    def is_partitioned(self, now: float) -> bool:
        """Return whether this daemon is cut off from platform and peers.

        It may then have missed that a key was withdrawn. This is excluded
        while the platform answers this daemon or one of its peers. It is
        also excluded while at least half of its neighbours are reachable and
        the platform answers none of them: that is an outage of the platform.
        A daemon that has not asked since the peer was lost that asks for it
        knows nothing of the platform.
        """
        return (
            self.asked_at is not None
            and now - self.asked_at > ANSWER_SECONDS
            and self.is_in_doubt(now)
        )

    def is_in_doubt(self, now: float) -> bool:
        """Return whether nothing excludes that this daemon is cut off."""
        if self.platform_age(now) <= self.isolation_seconds:
            return False
        return self.reachable_share(now) < MIN_REACHABLE_RATIO

    def must_ask(self, now: float) -> bool:
        """Return whether a call would tell if this daemon is cut off."""
        return self.asked_at is None and self.is_in_doubt(now)
