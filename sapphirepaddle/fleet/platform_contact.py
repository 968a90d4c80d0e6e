"""How long ago anybody in reach heard the platform."""

import dataclasses

from sapphirepaddle.peers import members

MIN_REACHABLE_RATIO = 0.5
"""Share of the ring's neighbours below which a daemon is cut off."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerContact:
    """What a peer said of its contact with the platform.

    Attributes:
        age: Seconds since it or its peers heard the platform.
        at: When it said so.
    """

    age: float
    reported_at: float


class PlatformContact:
    """Contact with platform and peers; pure, the time is passed in.

    Attributes:
        known: The VMs of the fleet.
        limit: Silence in seconds after which a daemon is cut off.
        platform_at: When this daemon last heard the platform.
        contacts: What peers said, by VM.
    """

    def __init__(
        self,
        known: members.Members,
        limit: float,
        now: float,
    ) -> None:
        """Start as if the platform had just been heard."""
        self.members = known
        self.isolation_seconds = limit
        self.platform_heard_at = now
        self.contacts: dict[str, PeerContact] = {}

    def record_platform_answer(self, now: float) -> None:
        """Note an answer of the platform."""
        self.platform_heard_at = now

    def record_heartbeat(self, name: str, age: float, now: float) -> None:
        """Note a heartbeat of a peer."""
        self.contacts[name] = PeerContact(age, now)

    def platform_age(self, now: float) -> float:
        """Return seconds since anybody in reach heard the platform."""
        ages = (
            contact.age + now - contact.reported_at
            for contact in self.contacts.values()
        )
        return min(now - self.platform_heard_at, min(ages, default=now))

    def reachable_share(self, now: float) -> float:
        """Return the share of the ring's neighbours heard of late."""
        wanted = self.members.neighbours()
        heard = [name for name in wanted if self.is_reachable(name, now)]
        return len(heard) / len(wanted) if wanted else 1

    def is_reachable(self, name: str, now: float) -> bool:
        """Tell whether a VM was heard of late."""
        contact = self.contacts.get(name)
        return (
            contact is not None
            and now - contact.reported_at <= self.isolation_seconds
        )

    def is_partitioned(self, now: float) -> bool:
        """Tell whether this daemon may have missed a withdrawn key.

        It may not while somebody in reach hears the platform, nor while
        the platform is silent to all of at least half its neighbours.
        """
        if self.platform_age(now) <= self.isolation_seconds:
            return False
        return self.reachable_share(now) < MIN_REACHABLE_RATIO
