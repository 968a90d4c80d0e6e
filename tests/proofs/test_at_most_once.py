"""Tests that orders run at most once and that "not run" is true."""

import collections
import typing
import unittest

from sapphirepaddle.replay import checks
from sapphirepaddle.standins import http_call
from tests.support import fleet_case


class AtMostOnceCase(fleet_case.FleetCase):
    """A test of orders with the checks that hold under every fault."""

    def check(self, trace_result: fleet_case.TraceResult) -> None:
        """Check executions and answers.

        No order ran twice, no request answered as "not run" was executed,
        and each served order ran and its answer echoes its identifier.
        """
        counts = collections.Counter(
            execution.identifier for execution in trace_result.executions
        )
        run_twice = {name for name, count in counts.items() if count > 1}
        self.assertEqual(run_twice, set())
        false_not_run = checks.count_false_not_run(
            trace_result.results, trace_result.executions
        )
        self.assertEqual(false_not_run, 0)
        served = {
            result.identifier
            for result in trace_result.results
            if result.status == 200
        }
        self.assertLessEqual(served, counts.keys())
        unechoed = [
            result
            for result in trace_result.results
            if result.status == 200 and not result.is_echoed
        ]
        self.assertEqual(unechoed, [])


class TestRepeats(AtMostOnceCase):
    """A repeated request must not run its order again.

    Callers send it to several daemons with the same idempotency key.
    """

    def test_same_key_at_once(self) -> None:
        """Without claims, each of three daemons would run the order."""
        trace_result = self.run_trace(
            fleet_case.order_requests(60, 30, send_count=3)
        )
        self.check(trace_result)
        self.assertEqual(set(trace_result.statuses()), {200})

    def test_lost_answers_of_claims(self) -> None:
        """A daemon may not know its own claim if the answer to it was lost.

        The platform loses half of the answers to applied writes.
        """
        self.fleet.set_platform_faults(lose_share=0.5)
        trace_result = self.run_trace(
            fleet_case.order_requests(60, 30, send_count=2, gap_seconds=1)
        )
        self.check(trace_result)
        self.assertGreater(trace_result.statuses().count(200), 60)

    def test_gray_targets(self) -> None:
        """An order may have run although its target gave no valid answer.

        One target each stalls, truncates answers, answers another request
        or drains.
        """
        self.fleet.set_modes('orders-0', stall_share=0.5)
        self.fleet.set_modes('orders-1', short_share=0.5)
        self.fleet.set_modes('orders-2', crossed_share=0.5)
        self.fleet.set_modes('orders-3', draining=True)
        trace_result = self.run_trace(
            fleet_case.order_requests(60, 30, send_count=3, gap_seconds=0.5)
        )
        self.check(trace_result)


class TestLostTargets(AtMostOnceCase):
    """An order must not run twice when its target is killed.

    The daemon gets no answer and cannot know whether the order ran.
    """

    target_settings: typing.ClassVar = {'service_ms': 800}

    def test_killed_while_running(self) -> None:
        """An order that ran at a killed target must not be sent to another.

        The execution log of the target ends with its process, so it is read
        before the kill.
        """
        orders_before_kill: list[str] = []
        killed_targets = {
            name: self.fleet.targets.pop(name)
            for name in ('orders-1', 'reads-1')
        }

        def kill() -> None:
            url = killed_targets['orders-1']
            entries = http_call.call(f'{url}/control/executions').json()
            self.fleet.programs['targets-b'].kill()
            orders_before_kill.extend(entry['order'] for entry in entries)

        self.environment = self.demo.replay_environment()
        trace_result = self.run_trace(
            fleet_case.order_requests(120, 40, send_count=2, gap_seconds=1.5),
            [(1.5, kill)],
        )
        self.check_all_executions(trace_result, orders_before_kill)

    def check_all_executions(
        self,
        trace_result: fleet_case.TraceResult,
        orders_before_kill: list[str],
    ) -> None:
        """Check executions before and after the kill together."""
        self.assertTrue(orders_before_kill)
        counts = collections.Counter(
            execution.identifier for execution in trace_result.executions
        )
        counts.update(orders_before_kill)
        run_twice = [name for name, count in counts.items() if count > 1]
        self.assertEqual(run_twice, [])
        false_not_run = checks.count_false_not_run(
            trace_result.results, trace_result.executions
        )
        self.assertEqual(false_not_run, 0)


class TestLostDaemons(AtMostOnceCase):
    """An order must not run twice when a daemon or the platform fails.

    Daemons are killed or paused while they process orders, and callers
    repeat the orders at other daemons.
    """

    def test_killed(self) -> None:
        """A killed daemon leaves claims whose orders are repeated elsewhere."""
        trace_result = self.run_trace(
            fleet_case.order_requests(120, 40, send_count=3, gap_seconds=0.7),
            [
                (1, self.fleet.programs['vm1'].kill),
                (2, self.fleet.programs['vm4'].kill),
            ],
        )
        self.check(trace_result)

    def test_paused_and_resumed(self) -> None:
        """A resumed daemon must not act on leases that expired meanwhile.

        Two daemons pause for longer than every lease.
        """
        trace_result = self.run_trace(
            fleet_case.order_requests(120, 40, send_count=3, gap_seconds=0.7),
            [
                (0.8, self.fleet.programs['vm2'].pause),
                (1, self.fleet.programs['vm3'].pause),
                (6, self.fleet.programs['vm2'].resume),
                (6.2, self.fleet.programs['vm3'].resume),
            ],
        )
        self.check(trace_result)

    def test_outage(self) -> None:
        """Claims must stay exclusive while the platform refuses or hangs.

        Every order must still run once the platform answers again.
        """
        trace_result = self.run_trace(
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
        self.check(trace_result)
        executed = {
            execution.identifier for execution in trace_result.executions
        }
        self.assertEqual(len(executed), 160)


if __name__ == '__main__':
    unittest.main()
