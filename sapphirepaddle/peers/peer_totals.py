"""Totals reported by another daemon."""

import typing

COUNT_MODULUS: typing.Final = 65536
"""Totals are sent modulo this value."""
FIRST_TOTAL_TRUST_SECONDS: typing.Final = 3.0
"""Seconds after the first digest of a sender from which the first total of a
name is taken as new and counted in full."""


class PeerTotals:
    """Totals of one incarnation of another daemon.

    Attributes:
        incarnation: Lower 32 bits of the incarnation.
        first_received_at: Monotonic time of its first digest.
        is_recent: Whether everything that it counted is recent.
        totals: Last total by kind and hash of the name; see record_total().
    """

    def __init__(self, incarnation: int, now: float, is_recent: bool) -> None:
        """Initialize without totals.

        Args:
            incarnation: Lower 32 bits of the incarnation.
            now: Monotonic time of its first digest.
            is_recent: Whether it started no earlier than this daemon.
        """
        self.incarnation = incarnation
        self.first_received_at = now
        self.is_recent = is_recent
        self.totals: dict[tuple[str, int], int] = {}

    def record_total(self, kind: str, key: int, total: int, now: float) -> int:
        """Record a total and return the number of new events.

        If the sender has run for longer than this daemon and was first heard
        from only recently, the first total of a name does not tell when its
        events were counted, so at most one of them counts as new. A total
        lower than the last one arrived out of order and adds nothing.

        Args:
            kind: What is counted: 'g' good results, 'b' bad results, 'a'
                admissions, 'r' requests, 'p' retries.
            key: Hash of the name of the target, account or service.
            total: The received total, modulo COUNT_MODULUS.
            now: Monotonic time.
        """
        last_total = self.totals.get((kind, key))
        if last_total is None:
            self.totals[(kind, key)] = total
            is_new = (
                self.is_recent
                or now - self.first_received_at > FIRST_TOTAL_TRUST_SECONDS
            )
            return total if is_new else min(total, 1)
        increase = (total - last_total) % COUNT_MODULUS
        if increase >= COUNT_MODULUS // 2:
            return 0
        self.totals[(kind, key)] = total
        return increase
