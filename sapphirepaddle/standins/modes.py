"""Gray-failure modes of the target stand-in."""

import dataclasses
import typing


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetModes:
    """Gray-failure modes, replaced through the control endpoint.

    Shares are fractions from 0 to 1, drawn for each request.

    Attributes:
        slow_ms: Added service time of each request in milliseconds.
        error_share: Share of requests answered with status 500 after they
            were executed.
        stall_share: Share of requests that start to execute but get no
            response.
        short_share: Share of responses that break off in the middle of the
            body.
        crossed_share: Share of responses that carry the identifier of another
            request.
        draining: Whether new requests are refused without execution.
        health_ok: Whether the health endpoint reports success.
        flap_seconds: Length of each phase of a flapping target, whose modes
            are alternately off and on; 0 keeps them on.
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
        """Return whether a flapping target is in its healthy phase.

        Args:
            now: Monotonic time in seconds.
        """
        if not self.flap_seconds:
            return False
        return int(now / self.flap_seconds) % 2 == 0


NO_FAULTS: typing.Final = TargetModes()
