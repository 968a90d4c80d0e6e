"""Tests of the guarantees under seeded random schedules of faults."""

import collections
import os
import unittest

from sapphirepaddle.replay import checks, trace
from tests.support import fault_schedule, fleet_case, relay

TRACE_SECONDS = 14
RATE = 40
"""Requests per second that an account may send."""
BURST = 40
SEEDS = (1, 2, 3, 4)
"""Seeds that are run unless PADDLE_SEEDS names others, as in 5,6,7."""


class TestRandomFaults(fleet_case.FleetCase):
    """Faults at the same time must not break a guarantee.

    Their kinds and times are random; the seed of a schedule fixes them.
    """

    overrides = {
        'stop': fleet_case.QUICK_STOP_SETTINGS,
        'limits': {'reclaim_seconds': 2},
    }

    def setUp(self) -> None:
        """Start the fleet with a relay in front of every peer listener."""
        self.relay = relay.Relay()
        self.addCleanup(self.relay.close)
        with relay.relay_all_peers(self.relay):
            super().setUp()

    def objects(self) -> list[fleet_case.change.Put]:
        """Return a configuration whose accounts have a low rate and burst."""
        return fleet_case.small_configuration(slots=16, rate=RATE, burst=BURST)

    def requests(self) -> list[trace.Request]:
        """Return reads of two accounts, one over its rate, and orders."""
        over_rate = fleet_case.read_requests(RATE * 3 * TRACE_SECONDS, RATE * 3)
        within_rate = fleet_case.read_requests(
            RATE * TRACE_SECONDS // 2, RATE / 2, 'weavers'
        )
        repeated_orders = [
            request.model_copy(update={'account': 'weavers'})
            for request in fleet_case.order_requests(
                100, 8, send_count=2, gap_seconds=1.1
            )
        ]
        return over_rate + within_rate + repeated_orders

    def run_seed(self, seed: int) -> None:
        """Run one schedule and make all checks."""
        schedule = fault_schedule.FaultSchedule(self, self.relay, seed)
        actions = schedule.draw_actions(TRACE_SECONDS)
        trace_result = self.run_trace(self.requests(), actions)
        message = f'seed {seed}: {"; ".join(schedule.drawn_faults)}'
        self.check_orders(trace_result, message)
        self.check_answers(trace_result, message)
        self.check_rates(trace_result, message)
        self.check_recovered(message)

    def check_orders(
        self, trace_result: fleet_case.TraceResult, message: str
    ) -> None:
        """Check that no order ran twice and that each "not run" is true."""
        counts = collections.Counter(
            execution.identifier
            for execution in trace_result.executions
            if execution.identifier.startswith('o')
        )
        run_twice = [name for name, count in counts.items() if count > 1]
        self.assertEqual(run_twice, [], message)
        false_not_run = checks.count_false_not_run(
            trace_result.results, trace_result.executions
        )
        self.assertEqual(false_not_run, 0, message)

    def check_answers(
        self, trace_result: fleet_case.TraceResult, message: str
    ) -> None:
        """Check that answers echo their request and that no key leaked."""
        crossed = [
            result
            for result in trace_result.results
            if result.status == 200 and not result.is_echoed
        ]
        self.assertEqual(crossed, [], message)
        self.assertFalse(
            any(execution.saw_key for execution in trace_result.executions),
            message,
        )
        served = trace_result.statuses().count(200)
        print(
            f'\n{message}\n  served {served} of {len(trace_result.results)}: '
            f'{collections.Counter(trace_result.statuses())}',
        )

    def check_rates(
        self, trace_result: fleet_case.TraceResult, message: str
    ) -> None:
        """Check rate and burst of the account that is over its rate."""
        trace_result.check_rate(self, 'guild', RATE, BURST, message)

    def check_recovered(self, message: str) -> None:
        """Check that the fleet serves requests after all faults ended."""
        self.relay.heal()
        self.fleet.set_platform_faults()
        for name in self.fleet.targets:
            self.fleet.set_modes(name)
        self.fleet.wait_ready()
        fleet_case.time.sleep(3)
        trace_result = self.run_trace(fleet_case.read_requests(60, 20))
        self.assertGreaterEqual(trace_result.statuses().count(200), 57, message)


def add_seed(seed: int) -> None:
    """Add a test that runs the schedule of one seed."""

    def test(self: TestRandomFaults) -> None:
        self.run_seed(seed)

    test.__doc__ = f'Schedule of seed {seed}.'
    setattr(TestRandomFaults, f'test_seed_{seed}', test)


seeds_setting = os.environ.get('PADDLE_SEEDS', '')
for seed in map(int, seeds_setting.split(',')) if seeds_setting else SEEDS:
    add_seed(seed)


if __name__ == '__main__':
    unittest.main()
