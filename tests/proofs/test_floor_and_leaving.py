"""Tests of capacity floors and of targets that leave."""

import time
import unittest

from sapphirepaddle.standins import fleet
from tests.support import fleet_case, operator

LEAVING_TIMEOUT_SECONDS = 4
"""Requirement: no new request reaches a target 4 s after it starts to leave."""


class TestFloor(fleet_case.FleetCase):
    """The capacity floor must hold at every daemon.

    More targets fail than the floor allows to eject.
    """

    overrides = {
        'stop': fleet_case.QUICK_STOP_SETTINGS,
        'routing': {'eject_seconds': 2},
    }

    def routed_counts(self, name: str) -> dict[str, int]:
        """Return the number of routed targets by service."""
        counts = {'reads': 0, 'orders': 0}
        for target in self.fleet.status(name)['targets']:
            counts[target['service']] += target['routed']
        return counts

    def test_most_targets_fail(self) -> None:
        """Ejecting all failing targets would overload the healthy rest.

        Three of four targets fail, one of them in an emptied zone; with a
        floor of 0.5, two must stay routed at every daemon.
        """
        for number in (0, 1, 2):
            self.fleet.set_modes(f'reads-{number}', error_share=1)
        routed: list[int] = []

        def record_routed() -> None:
            routed.extend(
                self.routed_counts(name)['reads'] for name in self.fleet.daemons
            )

        self.run_trace(
            fleet_case.read_requests(400, 100),
            [
                (0.5, self.empty_zone),
                *((quarter / 4, record_routed) for quarter in range(4, 20)),
            ],
        )
        self.assertGreaterEqual(min(routed), 2)

    def empty_zone(self) -> None:
        """Empty an availability zone despite the floor."""
        operator.run_intent(
            self.fleet,
            'vm1',
            'empty-zone',
            overrides_floor=True,
            zone='a',
        )


class TestLeaving(fleet_case.FleetCase):
    """A leaving target must get no new requests, and no read may fail.

    Targets leave by configuration or signal themselves that they drain.
    """

    def executions_after(self, at: float, names: set[str]) -> list[fleet.Json]:
        """Return the executions of targets after a Unix time."""
        urls = {self.fleet.targets[name] for name in names}
        return [
            execution
            for name in names
            if self.fleet.targets[name] in urls
            for execution in self.executions_of(name)
            if execution['at'] > at
        ]

    def executions_of(self, name: str) -> list[fleet.Json]:
        """Return the execution log of a target."""
        url = self.fleet.targets[name]
        answer = fleet_case.runner.http_call.call(f'{url}/control/executions')
        return answer.json()

    def test_drained_by_operator(self) -> None:
        """Draining must take effect although the platform fails right after.

        No read may fail while the target leaves.
        """

        def drain_target() -> None:
            operator.run_intent(
                self.fleet,
                'vm1',
                'drain-target',
                target='reads-1',
            )
            self.fleet.set_platform_faults(down=True)

        trace_result = self.run_trace(
            fleet_case.read_requests(800, 100), [(1, drain_target)]
        )
        # The trace lasts 8 s; the target starts to leave 1 s after its start.
        left_at = time.time() - 8 + 1 + LEAVING_TIMEOUT_SECONDS
        self.assertEqual(self.executions_after(left_at, {'reads-1'}), [])
        self.assertEqual(set(trace_result.statuses()), {200})

    def test_emptied_zone(self) -> None:
        """Targets of an emptied zone must get no new requests.

        No read may fail while they leave.
        """

        def empty_one_zone() -> None:
            operator.run_intent(self.fleet, 'vm1', 'empty-zone', zone='b')

        trace_result = self.run_trace(
            fleet_case.read_requests(800, 100), [(1, empty_one_zone)]
        )
        # The trace lasts 8 s; the target starts to leave 1 s after its start.
        left_at = time.time() - 8 + 1 + LEAVING_TIMEOUT_SECONDS
        self.assertEqual(self.executions_after(left_at, {'reads-1'}), [])
        self.assertEqual(set(trace_result.statuses()), {200})

    def test_target_signals_draining(self) -> None:
        """No read may fail when a target starts to drain by itself."""
        trace_result = self.run_trace(
            fleet_case.read_requests(400, 100),
            [(1, lambda: self.fleet.set_modes('reads-2', draining=True))],
        )
        self.assertEqual(set(trace_result.statuses()), {200})


if __name__ == '__main__':
    unittest.main()
