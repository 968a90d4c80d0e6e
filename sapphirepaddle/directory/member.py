"""Members of the fleet."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """A daemon process in the fleet; a restarted daemon is a new member.

    Attributes:
        name: Name of the VM.
        zone: Availability zone of the VM.
        host: IP address that other daemons connect to.
        incarnation: Start time in milliseconds since the Unix epoch.
    """

    name: str
    zone: str
    host: str
    incarnation: int
