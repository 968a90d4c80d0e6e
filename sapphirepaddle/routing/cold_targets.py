"""Requests of one daemon to the cold targets of a service."""

from sapphirepaddle.routing import candidate, warmup_admission


class ColdTargets:
    """Limits the requests of this daemon to the cold targets of a service.

    Attributes:
        admission: Decides how often this daemon may send to a cold target.
        limit: What a cold target of the service tolerates.
    """

    def __init__(
        self,
        admission: warmup_admission.WarmupAdmission,
        limit: warmup_admission.WarmupLimit,
    ) -> None:
        """Initialize with the limit of the service."""
        self.admission = admission
        self.limit = limit

    def accepts(self, target: candidate.Candidate, now: float) -> bool:
        """Return whether a request may be sent to a target at a time."""
        if now >= target.cold_until:
            return True
        interval = self.admission.interval_seconds(
            target.registration, self.limit
        )
        return now >= target.cold_sent_at + interval

    def record_choice(self, target: candidate.Candidate, now: float) -> None:
        """Record that a request is about to be sent to a target."""
        if now < target.cold_until:
            target.cold_sent_at = now

    def has_reservation(self, target: candidate.Candidate, now: float) -> bool:
        """Return whether a request that was chosen for a target may be sent.

        A target may have turned cold while the connection was opened.
        """
        return now >= target.cold_until or (
            now - target.cold_sent_at <= warmup_admission.WINDOW_SECONDS
        )
