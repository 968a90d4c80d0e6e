"""The soak holds, and its checker catches planted faults."""

import asyncio
import unittest

from soak import runner

SHORT = runner.Size(seconds=9, daemons=3, callers=24)
SEED = 3


def rules(prelude: str, *kinds: str) -> set[str]:
    """Run with some faults and return the rules that were broken."""
    entries = [(0.5, kind, 8.0) for kind in kinds]
    running = runner.run(SEED, SHORT, prelude, scheduled_faults=entries)
    outcome = asyncio.run(running)
    return {finding.partition(':')[0] for finding in outcome.findings}


class TestSoak(unittest.TestCase):
    """A short run."""

    def test_short_run_breaks_nothing(self) -> None:
        outcome = asyncio.run(runner.run(SEED, SHORT))
        self.assertEqual(outcome.findings, [])
        self.assertGreater(outcome.served, 0)


class TestPlanted(unittest.TestCase):
    """Daemons with a mechanism switched off."""

    def test_orders_sent_again(self) -> None:
        broken = rules(
            'from sapphirepaddle.proxy import sender\n'
            'sender.RetryingSender.may_retry = (\n'
            '    lambda self, wanted, is_hedge: wanted.send_count < 3)\n',
            'gray error',
            'gray reset',
        )
        self.assertIn('TWICE', broken)

    def test_quota_of_each_daemon_alone(self) -> None:
        broken = rules(
            'from sapphirepaddle.limits import fleet_bucket\n'
            'fleet_bucket.FleetBucket.record_peer_admissions = (\n'
            '    lambda self, count: None)\n'
            'fleet_bucket.FleetBucket.refill = lambda self, elapsed: (\n'
            '    setattr(self, "tokens", 9))\n',
        )
        self.assertIn('QUOTA', broken)

    def test_answers_taken_unseen(self) -> None:
        broken = rules(
            'from sapphirepaddle.proxy import attempt, attempt_result as end\n'
            'attempt.AttemptRunner.is_answer_to = lambda *given: True\n'
            'attempt.classify_success = lambda wanted, marks, received: (\n'
            '    end.AttemptResult(\n'
            '        end.AttemptResultKind.ANSWERED, "", received))\n',
            'gray other',
            'gray extra',
        )
        self.assertIn('MIXED', broken)

    def test_key_passed_on(self) -> None:
        broken = rules(
            'from sapphirepaddle.platform import header_codec\n'
            'header_codec.PROXY_ONLY_HEADERS = frozenset()\n',
        )
        self.assertIn('UNASKED', broken)
