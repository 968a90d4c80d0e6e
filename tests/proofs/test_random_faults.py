"""Everything fails together, in seeded random schedules."""

import collections
import os
import unittest

from sapphirepaddle.replay import checks, trace
from tests.support import fleet_case, relay, fault_schedule

SECONDS = 14
RATE = 40
BURST = 40
SEEDS = (1, 2, 3, 4)
"""More with PADDLE_SEEDS=5,6,7 in the environment."""


class TestRandomFaults(fleet_case.FleetCase):
    """All checks hold throughout random schedules."""

    overrides = {
        'stop': fleet_case.QUICK_STOP_SETTINGS,
        'limits': {'reclaim_seconds': 2},
    }

    def setUp(self) -> None:
        """Put a relay before every peer listener."""
        self.relay = relay.Relay()
        self.addCleanup(self.relay.close)
        with relay.relay_all_peers(self.relay):
            super().setUp()

    def objects(self) -> list[fleet_case.change.Put]:
        """Return accounts with little room."""
        return fleet_case.small_configuration(slots=16, rate=RATE, burst=BURST)

    def lines(self) -> list[trace.Request]:
        """Return a flood of one account, reads of another, and orders."""
        flood = fleet_case.read_requests(RATE * 3 * SECONDS, RATE * 3)
        calm = fleet_case.read_requests(
            RATE * SECONDS // 2, RATE / 2, 'weavers'
        )
        repeated = [
            line.model_copy(update={'account': 'weavers'})
            for line in fleet_case.order_requests(
                100, 8, send_count=2, gap_seconds=1.1
            )
        ]
        return flood + calm + repeated

    def run_seed(self, seed: int) -> None:
        """Run one schedule and make all checks."""
        drawn = fault_schedule.FaultSchedule(self, self.relay, seed)
        actions = drawn.draw(SECONDS)
        record = self.run_trace(self.lines(), actions)
        story = f'seed {seed}: {"; ".join(drawn.drawn_faults)}'
        self.check_orders(record, story)
        self.check_answers(record, story)
        self.check_rates(record, story)
        self.check_alive(story)

    def check_orders(self, record: fleet_case.TraceResult, story: str) -> None:
        """Check orders and truthful refusals."""
        counts = collections.Counter(
            run.identifier
            for run in record.executions
            if run.identifier.startswith('o')
        )
        twice = [name for name, count in counts.items() if count > 1]
        self.assertEqual(twice, [], story)
        untrue = checks.count_false_not_run(record.results, record.executions)
        self.assertEqual(untrue, 0, story)

    def check_answers(self, record: fleet_case.TraceResult, story: str) -> None:
        """Check that answers are whole and name their request."""
        crossed = [
            result
            for result in record.results
            if result.status == 200 and not result.is_echoed
        ]
        self.assertEqual(crossed, [], story)
        self.assertFalse(any(run.saw_key for run in record.executions), story)
        served = record.statuses().count(200)
        print(
            f'\n{story}\n  served {served} of {len(record.results)}: '
            f'{collections.Counter(record.statuses())}',
        )

    def check_rates(self, record: fleet_case.TraceResult, story: str) -> None:
        """Check every window of the flooding account."""
        record.check_rate(self, 'guild', RATE, BURST, story)

    def check_alive(self, story: str) -> None:
        """Check that the fleet serves after all faults ended."""
        self.relay.heal()
        self.fleet.set_platform_faults()
        for name in self.fleet.targets:
            self.fleet.set_modes(name)
        self.fleet.wait_ready()
        fleet_case.time.sleep(3)
        record = self.run_trace(fleet_case.read_requests(60, 20))
        self.assertGreaterEqual(record.statuses().count(200), 57, story)


def add_seed(seed: int) -> None:
    """Add the test of one seed."""

    def test(self: TestRandomFaults) -> None:
        self.run_seed(seed)

    test.__doc__ = f'Schedule of seed {seed}.'
    setattr(TestRandomFaults, f'test_seed_{seed}', test)


wanted = os.environ.get('PADDLE_SEEDS', '')
for given in map(int, wanted.split(',')) if wanted else SEEDS:
    add_seed(given)


if __name__ == '__main__':
    unittest.main()
