"""Totals that another daemon told."""

import typing

COUNT_MODULUS: typing.Final = 65536
"""Totals are sent modulo this."""
FIRST_TOTAL_TRUST_SECONDS: typing.Final = 3.0
"""Age of a known sender from which a first count of something is new."""


class PeerTotals:
    """Totals of one start of another daemon.

    Attributes:
        start: Which start.
        since: When it was first heard.
        is_recent: Whether all that it counted is recent.
        totals: Last total by kind and hash.
    """

    def __init__(self, start: int, now: float, is_recent: bool) -> None:
        """Start without totals.

        Args:
            start: Which start.
            now: When it was first heard.
            is_recent: Whether it started no earlier than this daemon.
        """
        self.incarnation = start
        self.first_heard_at = now
        self.is_recent = is_recent
        self.totals: dict[tuple[str, int], int] = {}

    def record_total(self, kind: str, key: int, total: int, now: float) -> int:
        """Return by how much a total rose since it was last heard.

        A first total of a sender that was just met, and that runs for
        longer than this daemon, says nothing of when it was counted: at
        most one of it is taken as new. A total that is
        lower than the last one was overtaken on its way, and adds nothing.
        """
        known = self.totals.get((kind, key))
        if known is None:
            self.totals[(kind, key)] = total
            is_new = (
                self.is_recent
                or now - self.first_heard_at > FIRST_TOTAL_TRUST_SECONDS
            )
            return total if is_new else min(total, 1)
        rise = (total - known) % COUNT_MODULUS
        if rise >= COUNT_MODULUS // 2:
            return 0
        self.totals[(kind, key)] = total
        return rise
