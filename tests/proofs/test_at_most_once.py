"""Orders run at most once, and "not run" is true."""

import collections
import typing
import unittest

from sapphirepaddle.replay import checks
from sapphirepaddle.standins import http_call
from tests.support import fleet_case


class AtMostOnceCase(fleet_case.FleetCase):
    """Checks that hold in every test of orders."""

    def check(self, record: fleet_case.TraceResult) -> None:
        """Check that no order ran twice and that each "not run" is true."""
        counts = collections.Counter(
            run.identifier for run in record.executions
        )
        twice = {name for name, count in counts.items() if count > 1}
        self.assertEqual(twice, set())
        untrue = checks.count_false_not_run(record.results, record.executions)
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
            if result.status == 200 and not result.is_echoed
        ]
        self.assertEqual(unnamed, [])


class TestRepeats(AtMostOnceCase):
    """The same key at several daemons."""

    def test_same_key_at_once(self) -> None:
        """Three daemons get the same key at the same moment."""
        record = self.run_trace(fleet_case.order_requests(60, 30, send_count=3))
        self.check(record)
        self.assertEqual(set(record.statuses()), {200})

    def test_lost_answers_of_claims(self) -> None:
        """Half of the platform's answers are lost after their effect."""
        self.fleet.set_platform_faults(lose_share=0.5)
        record = self.run_trace(
            fleet_case.order_requests(60, 30, send_count=2, gap_seconds=1)
        )
        self.check(record)
        self.assertGreater(record.statuses().count(200), 60)

    def test_gray_targets(self) -> None:
        """Targets stall, cut answers, cross answers and shed."""
        self.fleet.set_modes('orders-0', stall_share=0.5)
        self.fleet.set_modes('orders-1', short_share=0.5)
        self.fleet.set_modes('orders-2', crossed_share=0.5)
        self.fleet.set_modes('orders-3', draining=True)
        record = self.run_trace(
            fleet_case.order_requests(60, 30, send_count=3, gap_seconds=0.5)
        )
        self.check(record)


class TestLostTargets(AtMostOnceCase):
    """Targets die with orders running."""

    target_settings: typing.ClassVar = {'service_ms': 800}

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

        self.environment = self.demo.replay_environment()
        record = self.run_trace(
            fleet_case.order_requests(120, 40, send_count=2, gap_seconds=1.5),
            [(1.5, kill)],
        )
        self.check_lost(record, seen)

    def check_lost(
        self, record: fleet_case.TraceResult, seen: list[str]
    ) -> None:
        """Check runs here and those seen before the kill together."""
        self.assertTrue(seen)
        runs = collections.Counter(run.identifier for run in record.executions)
        runs.update(seen)
        twice = [name for name, count in runs.items() if count > 1]
        self.assertEqual(twice, [])
        untrue = checks.count_false_not_run(record.results, record.executions)
        self.assertEqual(untrue, 0)


class TestLostDaemons(AtMostOnceCase):
    """Daemons die and pause with orders in every stage."""

    def test_killed(self) -> None:
        """Two daemons are killed while every order is repeated elsewhere."""
        record = self.run_trace(
            fleet_case.order_requests(120, 40, send_count=3, gap_seconds=0.7),
            [
                (1, self.fleet.programs['vm1'].kill),
                (2, self.fleet.programs['vm4'].kill),
            ],
        )
        self.check(record)

    def test_frozen_and_woken(self) -> None:
        """A daemon pauses for longer than every lease, then goes on."""
        record = self.run_trace(
            fleet_case.order_requests(120, 40, send_count=3, gap_seconds=0.7),
            [
                (0.8, self.fleet.programs['vm2'].pause),
                (1, self.fleet.programs['vm3'].pause),
                (6, self.fleet.programs['vm2'].resume),
                (6.2, self.fleet.programs['vm3'].resume),
            ],
        )
        self.check(record)

    def test_outage(self) -> None:
        """The platform is silent, first refusing and then hanging."""
        record = self.run_trace(
            fleet_case.order_requests(160, 20, send_count=2, gap_seconds=3),
            [
                (1, lambda: self.fleet.set_platform_faults(down=True)),
                (3, self.fleet.set_platform_faults),
                (
                    4,
                    lambda: self.fleet.set_platform_faults(
                        down=True, hang=True
                    ),
                ),
                (7, self.fleet.set_platform_faults),
            ],
        )
        self.check(record)
        ran = {run.identifier for run in record.executions}
        self.assertEqual(len(ran), 160)


if __name__ == '__main__':
    unittest.main()
