"""Registrations of targets."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Registration:
    """Registration that a target wrote for itself; one for each start.

    Attributes:
        name: Name of the target.
        service: Name of its service.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        slots: Number of requests that it runs concurrently.
        incarnation: Start time; distinguishes restarts of a target.
        is_draining: Whether the target is shutting down and takes no new
            requests.
        warmup_seconds: Time left in which it answers slowly after its start.
        sequence: Number of the report, counted by the target since its start;
            it changes nothing by itself.
    """

    name: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    incarnation: int
    is_draining: bool = False
    warmup_seconds: float = 0
    sequence: int = dataclasses.field(default=0, compare=False)

    @property
    def age_rank(self) -> tuple[int, int]:
        """Return what orders the reports of targets with one name by age."""
        return (self.incarnation, self.sequence)

    def is_same_incarnation(self, other: 'Registration') -> bool:
        """Return whether both have the same start time, address and service."""
        return (self.incarnation, self.host, self.port, self.service) == (
            other.incarnation,
            other.host,
            other.port,
            other.service,
        )
