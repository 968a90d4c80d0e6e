"""A short soak has no findings, and the checker detects disabled mechanisms."""

import asyncio
import itertools
import unittest

from soak import runner, schedule

SHORT_RUN = runner.Size(seconds=9, daemons=3, callers=24)
RETURNS_RUN = runner.Size(seconds=15, daemons=6, callers=24, returns_store=True)
RETURNS_SEED = 827832
SEED = 3
TURN_SECONDS = 2.0
TURN_COUNT = 4


def violated_rules(prelude: str, *kinds: str) -> set[str]:
    """Run with faults of some kinds at once; return the violated rules."""
    return violated_by(prelude, [(0.5, kind, 8.0) for kind in kinds])


def violated_in_turn(prelude: str, *kinds: str) -> set[str]:
    """Run with faults of some kinds in turn; return the violated rules.

    Kinds that fail targets in different ways replace each other on targets
    that both draw if they run at once.
    """
    starts = [0.5 + TURN_SECONDS * number for number in range(TURN_COUNT)]
    turns = zip(starts, itertools.cycle(kinds), strict=False)
    return violated_by(
        prelude, [(start, kind, TURN_SECONDS) for start, kind in turns]
    )


def violated_by(
    prelude: str, scheduled_faults: list[schedule.ScheduledFault]
) -> set[str]:
    """Run with scheduled faults and return the violated rules."""
    run = runner.run(
        SEED, SHORT_RUN, prelude, scheduled_faults=scheduled_faults
    )
    result = asyncio.run(run)
    return {finding.partition(':')[0] for finding in result.findings}


class TestSoak(unittest.TestCase):
    """A run of the unchanged daemons must have no findings."""

    def test_short_run_has_no_findings(self) -> None:
        result = asyncio.run(runner.run(SEED, SHORT_RUN))
        self.assertEqual(result.findings, [])
        self.assertGreater(result.served, 0)


class TestReturnedStore(unittest.TestCase):
    """The same while the store returns from older copies, repeatedly.

    The seed found that the warm-up of targets was not relayed after a return.
    """

    def test_short_run_has_no_findings(self) -> None:
        result = asyncio.run(runner.run(RETURNS_SEED, RETURNS_RUN))
        self.assertEqual(result.findings, [])
        self.assertGreater(result.served, 0)


class TestDisabledMechanisms(unittest.TestCase):
    """Each run disables one mechanism; the checker must report its rule."""

    def test_orders_sent_again(self) -> None:
        violated = violated_rules(
            'from sapphirepaddle.proxy import sender\n'
            'sender.RetryingSender.may_retry = (\n'
            '    lambda self, request, is_hedge: request.send_count < 3)\n',
            'gray error',
            'gray reset',
        )
        self.assertIn('TWICE', violated)

    def test_quota_of_each_daemon_alone(self) -> None:
        violated = violated_rules(
            'from sapphirepaddle.limits import fleet_bucket\n'
            'fleet_bucket.FleetBucket.record_peer_admissions = (\n'
            '    lambda self, count, fleet_time: None)\n'
            'fleet_bucket.FleetBucket.refill = lambda self, elapsed: (\n'
            '    setattr(self, "tokens", 9))\n',
        )
        self.assertIn('QUOTA', violated)

    def test_unchecked_answers(self) -> None:
        violated = violated_in_turn(
            'from sapphirepaddle.proxy import attempt, attempt_result as end\n'
            'attempt.AttemptRunner.is_answer_to = lambda *args: True\n'
            'attempt.classify_success = lambda request, metadata, received: (\n'
            '    end.AttemptResult(\n'
            '        end.AttemptResultKind.ANSWERED, "", received))\n',
            'gray other',
            'gray extra',
        )
        self.assertIn('MIXED', violated)

    def test_statements_of_targets_ignored(self) -> None:
        violated = violated_rules(
            'from sapphirepaddle.proxy import target_notices\n'
            'target_notices.TargetNotices.apply = lambda *args: None\n',
            'leave',
            'turn_away',
        )
        self.assertLessEqual({'DRAIN', 'BUDGET'}, violated)

    def test_kept_connections_of_refused_orders(self) -> None:
        violated = violated_rules(
            'from sapphirepaddle.proxy import connection_pool\n'
            'acquire = connection_pool.ConnectionPool.acquire_idle\n'
            'connection_pool.ConnectionPool.acquire_idle = (\n'
            '    lambda self, address, seconds, identifier="":\n'
            '    acquire(self, address, seconds))\n',
            'full_targets_that_copy',
        )
        self.assertTrue({'REFUSED', 'TWICE'} & violated)

    def test_emptied_zones_ignored(self) -> None:
        violated = violated_rules(
            'from sapphirepaddle.routing import emptied_zones as zones\n'
            'zones.EmptiedZones.is_closed = lambda *args: False\n'
            'zones.EmptiedZones.draw_avoided = lambda *args: frozenset()\n',
            'empty',
        )
        self.assertIn('EVAC', violated)

    def test_cold_targets_used_like_warm_ones(self) -> None:
        """Every daemon sends to the only targets left, which are cold."""
        violated = violated_rules(
            'from sapphirepaddle.routing import cold_targets\n'
            'cold_targets.ColdTargets.accepts = lambda *args: True\n'
            'from sapphirepaddle.routing import emptied_zones as zones\n'
            'zones.EmptiedZones.draw_avoided = lambda *args: frozenset()\n'
            'from sapphirepaddle.routing import service_targets as targets\n'
            'targets.ServiceTargets.sample_by_zone = (\n'
            '    lambda self, usable: sorted(usable, key=lambda target: (\n'
            '        -target.cold_until, target.registration.name))[:1])\n',
            'return_cold',
        )
        self.assertIn('FAILBACK', violated)

    def test_key_passed_on(self) -> None:
        violated = violated_rules(
            'from sapphirepaddle.platform import header_codec\n'
            'header_codec.PROXY_ONLY_HEADERS = frozenset()\n',
        )
        self.assertIn('UNASKED', violated)
