"""A target as it registered itself."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Registration:
    """One start of a target.

    Attributes:
        name: Name of the target.
        service: Service that it belongs to.
        host: Its IP address.
        port: Its port.
        zone: Its availability zone.
        slots: Requests that it runs at a time.
        incarnation: Time of its start; tells two starts apart.
        is_draining: Whether it leaves.
        warmup: Seconds for which it stays slow after its start.
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

    def is_same_incarnation(self, other: 'Registration') -> bool:
        """Tell whether both describe the same process at the same place."""
        return (self.incarnation, self.host, self.port, self.service) == (
            other.incarnation,
            other.host,
            other.port,
            other.service,
        )
