"""Orders run at most once, and "not run" is true."""

import collections
import typing
import unittest

from sapphirepaddle.replay import checks
from sapphirepaddle.standins import http_call
from tests.support import proof


class AtMostOnceCase(proof.FleetCase):
    """Checks that hold in every test of orders."""

    def check(self, record: proof.Record) -> None:
        """Check that no order ran twice and that each "not run" is true."""
        counts = collections.Counter(run.identifier for run in record.runs)
        twice = {name for name, count in counts.items() if count > 1}
        self.assertEqual(twice, set())
        untrue = checks.count_untrue(record.results, record.runs)
        self.assertEqual(untrue, 0)
        served = {
            result.identifier
            for result in record.results
            if result.status == 200
        }
        self.assertLessEqual(served, counts.keys())
        unnamed = [
            result
            for result in record.results
            if result.status == 200 and not result.echoed
        ]
        self.assertEqual(unnamed, [])


class TestRepeats(AtMostOnceCase):
    """The same key at several daemons."""

    def test_same_key_at_once(self) -> None:
        """Three daemons get the same key at the same moment."""
        record = self.play(proof.orders(60, 30, sendings=3))
        self.check(record)
        self.assertEqual(set(record.statuses()), {200})

    def test_lost_answers_of_claims(self) -> None:
        """Half of the platform's answers are lost after their effect."""
        self.fleet.fault_platform(lose_share=0.5)
        record = self.play(proof.orders(60, 30, sendings=2, gap=1))
        self.check(record)
        self.assertGreater(record.statuses().count(200), 60)

    def test_gray_targets(self) -> None:
        """Targets stall, cut answers, cross answers and shed."""
        self.fleet.set_modes('orders-0', stall_share=0.5)
        self.fleet.set_modes('orders-1', short_share=0.5)
        self.fleet.set_modes('orders-2', crossed_share=0.5)
        self.fleet.set_modes('orders-3', draining=True)
        record = self.play(proof.orders(60, 30, sendings=3, gap=0.5))
        self.check(record)


class TestLostTargets(AtMostOnceCase):
    """Targets die with orders running."""

    instance: typing.ClassVar = {'service_ms': 800}

    def test_killed_in_mid_run(self) -> None:
        """What ran at a killed target is not sent to another."""
        seen: list[str] = []
        zone = {
            name: self.fleet.targets.pop(name)
            for name in ('orders-1', 'reads-1')
        }

        def kill() -> None:
            url = zone['orders-1']
            log = http_call.call(f'{url}/control/executions').json()
            self.fleet.programs['targets-b'].kill()
            seen.extend(entry['order'] for entry in log)

        self.bench = self.demo.bench()
        record = self.play(
            proof.orders(120, 40, sendings=2, gap=1.5),
            [(1.5, kill)],
        )
        self.check_lost(record, seen)

    def check_lost(self, record: proof.Record, seen: list[str]) -> None:
        """Check runs here and those seen before the kill together."""
        self.assertTrue(seen)
        runs = collections.Counter(run.identifier for run in record.runs)
        runs.update(seen)
        twice = [name for name, count in runs.items() if count > 1]
        self.assertEqual(twice, [])
        untrue = checks.count_untrue(record.results, record.runs)
        self.assertEqual(untrue, 0)


class TestLostDaemons(AtMostOnceCase):
    """Daemons die and pause with orders in every stage."""

    def test_killed(self) -> None:
        """Two daemons are killed while every order is repeated elsewhere."""
        record = self.play(
            proof.orders(120, 40, sendings=3, gap=0.7),
            [
                (1, self.fleet.programs['vm1'].kill),
                (2, self.fleet.programs['vm4'].kill),
            ],
        )
        self.check(record)

    def test_frozen_and_woken(self) -> None:
        """A daemon pauses for longer than every lease, then goes on."""
        record = self.play(
            proof.orders(120, 40, sendings=3, gap=0.7),
            [
                (0.8, self.fleet.programs['vm2'].freeze),
                (1, self.fleet.programs['vm3'].freeze),
                (6, self.fleet.programs['vm2'].wake),
                (6.2, self.fleet.programs['vm3'].wake),
            ],
        )
        self.check(record)

    def test_outage(self) -> None:
        """The platform is silent, first refusing and then hanging."""
        record = self.play(
            proof.orders(160, 20, sendings=2, gap=3),
            [
                (1, lambda: self.fleet.fault_platform(down=True)),
                (3, self.fleet.fault_platform),
                (4, lambda: self.fleet.fault_platform(down=True, hang=True)),
                (7, self.fleet.fault_platform),
            ],
        )
        self.check(record)
        ran = {run.identifier for run in record.runs}
        self.assertEqual(len(ran), 160)


if __name__ == '__main__':
    unittest.main()
