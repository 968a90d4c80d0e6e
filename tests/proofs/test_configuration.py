"""Tests that an accepted configuration applies everywhere and never reverts."""

import concurrent.futures
import threading
import time
import typing
import unittest

from sapphirepaddle import errors
from sapphirepaddle.standins import http_call, processes
from tests.support import fleet_case, operator, relay

IN_FORCE_TIMEOUT_SECONDS = 4
"""Requirement: a change is in force at every daemon within 4 s."""


class ConfigurationCase(fleet_case.FleetCase):
    """A test that records the revisions in force at all daemons."""

    def setUp(self) -> None:
        """Start to record the revision of every daemon."""
        super().setUp()
        self.recorded_revisions: dict[str, list[tuple[str, int]]] = {}
        self.is_recording = True
        self.recorder = threading.Thread(target=self.record_revisions)
        self.recorder.start()
        self.addCleanup(self.stop_recording)

    def stop_recording(self) -> None:
        """Stop the recording thread and wait until it ends."""
        self.is_recording = False
        self.recorder.join()

    def record_revisions(self) -> None:
        """Record process ID and revision of every daemon until stopped."""
        while self.is_recording:
            for name in self.fleet.daemons:
                revision = self.revision(name)
                process_id = str(self.fleet.programs[name].process.pid)
                if revision:
                    self.recorded_revisions.setdefault(name, []).append(
                        (process_id, revision)
                    )
            time.sleep(0.05)

    def revision(self, name: str) -> int:
        """Return the revision of a daemon; 0 if it does not answer."""
        try:
            return self.fleet.status(name)['revision']
        except OSError:
            return 0

    def check_revisions_monotonic(self) -> None:
        """Check that no process reverted to an older revision."""
        for name, revisions in self.recorded_revisions.items():
            for before, after in zip(revisions, revisions[1:]):
                if before[0] == after[0]:
                    self.assertLessEqual(before[1], after[1], name)

    def set_rate(self, daemon: str, rate: float) -> int:
        """Change the rate of an account; return the revision."""
        return operator.run_intent(
            self.fleet,
            daemon,
            'set-account',
            account='guild',
            rate=rate,
        ).revision

    def wait_in_force(self, revision: int) -> float:
        """Wait until a revision is in force everywhere; return the seconds."""
        return processes.wait_for(
            lambda: all(
                self.revision(name) >= revision for name in self.fleet.daemons
            ),
            IN_FORCE_TIMEOUT_SECONDS,
            f'revision {revision} to be in force',
        )


class TestInForce(ConfigurationCase):
    """An accepted change must be in force at every daemon within 4 s.

    Lost answers, an outage of the platform, and daemons that restart or
    pause can delay it.
    """

    def test_many_changes(self) -> None:
        """Changes through any daemon must spread despite lost answers.

        The platform loses 30 % of the answers to applied writes.
        """
        self.fleet.set_platform_faults(lose_share=0.3)
        names = list(self.fleet.daemons)
        seconds = [
            self.wait_in_force(self.set_rate(names[number % 6], 100 + number))
            for number in range(10)
        ]
        print(f'\n{self.id()}: in force after {max(seconds):.2f} s at worst')
        self.check_revisions_monotonic()

    def test_outage_after_acceptance(self) -> None:
        """Daemons must get a change from peers if the platform then hangs."""
        revision = self.set_rate('vm3', 77)
        self.fleet.set_platform_faults(down=True, hang=True)
        self.wait_in_force(revision)
        self.check_revisions_monotonic()

    def test_restarted_during_outage(self) -> None:
        """A daemon started in an outage must get the revision of its peers."""
        revision = self.set_rate('vm1', 50)
        self.wait_in_force(revision)
        self.fleet.set_platform_faults(down=True)
        self.fleet.programs['vm2'].kill()
        self.fleet.start_daemon('vm2')
        self.fleet.wait_ready()
        self.wait_in_force(revision)
        self.check_revisions_monotonic()

    def test_resumed_daemon(self) -> None:
        """A resumed daemon missed a change and must catch up."""
        self.fleet.programs['vm5'].pause()
        self.stop_recording()
        revision = self.set_rate('vm1', 33)
        time.sleep(3)
        self.fleet.programs['vm5'].resume()
        self.wait_in_force(revision)


class TestRace(ConfigurationCase):
    """Of two changes of one object at the same time, one must be refused.

    Two operators make their plans from the same revision.
    """

    def confirm(self, daemon: str, received_plan: typing.Any) -> int:
        """Confirm a plan; return its revision, or 0 if it is stale."""
        try:
            return operator.confirm(self.fleet, daemon, received_plan).revision
        except errors.OperatorError as error:
            self.assertEqual(error.code.number, 6005)
            return 0

    def test_only_one_plan_is_accepted(self) -> None:
        """Accepting both plans for one object would lose one change."""
        for round_number in range(5):
            plans = {
                daemon: operator.make_plan(
                    self.fleet,
                    daemon,
                    'set-account',
                    account='guild',
                    rate=200 + round_number * 10 + number,
                )
                for number, daemon in enumerate(('vm1', 'vm6'))
            }
            with concurrent.futures.ThreadPoolExecutor(2) as workers:
                revisions = list(
                    workers.map(self.confirm, *zip(*plans.items()))
                )
            self.assertEqual(sorted(revisions)[0], 0)
            self.assertGreater(max(revisions), 1)
            self.wait_in_force(max(revisions))
        self.check_revisions_monotonic()


class TestCalls(ConfigurationCase):
    """A fleet of any size must not overload the platform with calls.

    Only a few daemons poll it, and they tell the others.
    """

    def test_calls_are_bounded(self) -> None:
        """Calls of an idle fleet must not grow with the number of daemons.

        Three watchers make at most one call per second each.
        """
        time.sleep(3)
        url = f'{self.fleet.platform_url}/control/calls'
        before = sum(http_call.call(url).json().values())
        time.sleep(6)
        calls = sum(http_call.call(url).json().values()) - before
        print(f'\n{self.id()}: {calls / 6:.2f} calls a second by 6 daemons')
        watchers = [
            name
            for name in self.fleet.daemons
            if self.fleet.status(name)['platform']['watching']
        ]
        self.assertEqual(len(watchers), 3)
        self.assertLessEqual(calls / 6, 3 * 1)


class TestPartitionedDaemon(ConfigurationCase):
    """A daemon must get a change made while it was partitioned.

    Neither its peers nor the platform reach it for a while.
    """

    def setUp(self) -> None:
        """Start the fleet with a relay in front of every peer listener."""
        self.relay = relay.Relay()
        self.addCleanup(self.relay.close)
        with relay.relay_all_peers(self.relay):
            super().setUp()

    def test_catches_up_after_partition(self) -> None:
        """A change made during a partition must apply soon after its end."""
        hosts = [addresses.host for addresses in self.fleet.daemons.values()]
        self.fleet.set_platform_faults(blocked=['vm4'], hang=True)
        for host in hosts:
            self.relay.partition(host, self.fleet.daemons['vm4'].host)
        revision = self.set_rate('vm1', 42)
        time.sleep(3)
        self.relay.heal()
        self.fleet.set_platform_faults()
        self.wait_in_force(revision)
        self.check_revisions_monotonic()


if __name__ == '__main__':
    unittest.main()
