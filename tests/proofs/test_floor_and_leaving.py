"""Floors hold over processes, and leaving targets get nothing new."""

import time
import unittest

from sapphirepaddle.standins import fleet
from tests.support import operator, fleet_case

LEAVING_SECONDS = 4
"""The brief: no new work after a few seconds; the letter: 4 s."""


class TestFloor(fleet_case.FleetCase):
    """More targets fail than the floor allows to eject."""

    overrides = {
        'stop': fleet_case.QUICK_STOP_SETTINGS,
        'routing': {'eject_seconds': 2},
    }

    def routed_counts(self, name: str) -> dict[str, int]:
        """Return the number of routed targets by service."""
        counts = {'reads': 0, 'orders': 0}
        for held in self.fleet.status(name)['targets']:
            counts[held['service']] += held['routed']
        return counts

    def test_most_targets_err(self) -> None:
        """Three of four targets err, one of them in an emptied zone."""
        for number in (0, 1, 2):
            self.fleet.set_modes(f'reads-{number}', error_share=1)
        watched: list[int] = []

        def watch() -> None:
            watched.extend(
                self.routed_counts(name)['reads'] for name in self.fleet.daemons
            )

        self.run_trace(
            fleet_case.read_requests(400, 100),
            [
                (0.5, self.empty_zone),
                *((at / 4, watch) for at in range(4, 20)),
            ],
        )
        self.assertGreaterEqual(min(watched), 2)

    def empty_zone(self) -> None:
        """Empty a zone."""
        operator.run_intent(
            self.fleet,
            'vm1',
            'empty-zone',
            overrides_floor=True,
            zone='a',
        )


class TestLeaving(fleet_case.FleetCase):
    """Targets that leave by configuration or by their own signal."""

    def runs_after(self, at: float, names: set[str]) -> list[fleet.Json]:
        """Return the runs of targets after a time."""
        ports = {self.fleet.targets[name] for name in names}
        return [
            run
            for name in names
            if self.fleet.targets[name] in ports
            for run in self.runs_of(name)
            if run['at'] > at
        ]

    def runs_of(self, name: str) -> list[fleet.Json]:
        """Return the execution log of a target."""
        url = self.fleet.targets[name]
        log = fleet_case.runner.http_call.call(f'{url}/control/executions')
        return log.json()

    def test_drained_by_operator(self) -> None:
        """The platform goes silent right after the acceptance."""

        def drain() -> None:
            operator.run_intent(
                self.fleet,
                'vm1',
                'drain-target',
                target='reads-1',
            )
            self.fleet.set_platform_faults(down=True)

        record = self.run_trace(
            fleet_case.read_requests(800, 100), [(1, drain)]
        )
        bound = time.time() - 8 + 1 + LEAVING_SECONDS
        self.assertEqual(self.runs_after(bound, {'reads-1'}), [])
        self.assertEqual(set(record.statuses()), {200})

    def test_emptied_zone(self) -> None:
        """Every target of a zone leaves."""

        def empty() -> None:
            operator.run_intent(self.fleet, 'vm1', 'empty-zone', zone='b')

        record = self.run_trace(
            fleet_case.read_requests(800, 100), [(1, empty)]
        )
        bound = time.time() - 8 + 1 + LEAVING_SECONDS
        self.assertEqual(self.runs_after(bound, {'reads-1'}), [])
        self.assertEqual(set(record.statuses()), {200})

    def test_own_signal(self) -> None:
        """A target says itself that it drains; nothing is lost."""
        record = self.run_trace(
            fleet_case.read_requests(400, 100),
            [(1, lambda: self.fleet.set_modes('reads-2', draining=True))],
        )
        self.assertEqual(set(record.statuses()), {200})


if __name__ == '__main__':
    unittest.main()
