"""Gray modes of the target stand-in."""

import dataclasses
import typing


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetModes:
    """Modes switched on by the control endpoint.

    Attributes:
        slow_ms: Extra time of each request.
        error_share: Share of requests answered with status 500 after they
            ran.
        stall_share: Share of requests that run but get no answer.
        short_share: Share of answers cut in mid-body.
        crossed_share: Share of answers that carry another identifier.
        draining: New requests are refused without running.
        health_ok: What the health endpoint says.
        flap_seconds: Length of alternating phases in which the other modes
            are off and on; 0 for always on.
    """

    slow_ms: float = 0
    error_share: float = 0
    stall_share: float = 0
    short_share: float = 0
    crossed_share: float = 0
    draining: bool = False
    health_ok: bool = True
    flap_seconds: float = 0

    def is_in_healthy_phase(self, now: float) -> bool:
        """Tell whether a flapping target is in its good phase."""
        if not self.flap_seconds:
            return False
        return int(now / self.flap_seconds) % 2 == 0


NO_FAULTS: typing.Final = TargetModes()
