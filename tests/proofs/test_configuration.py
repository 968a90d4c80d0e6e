"""An accepted configuration is in force everywhere and never reverts."""

import concurrent.futures
import threading
import time
import typing
import unittest

from sapphirepaddle import errors
from sapphirepaddle.standins import http_call, processes
from tests.support import operator, fleet_case, relay

BOUND_SECONDS = 4
"""The letter: in force everywhere within 4 s."""


class ConfigurationCase(fleet_case.FleetCase):
    """Watches the revisions in force."""

    def setUp(self) -> None:
        """Start watching every daemon's revision."""
        super().setUp()
        self.seen_revisions: dict[str, list[tuple[str, int]]] = {}
        self.watching = True
        self.watcher = threading.Thread(target=self.watch)
        self.watcher.start()
        self.addCleanup(self.stop_watching)

    def stop_watching(self) -> None:
        """Stop watching."""
        self.watching = False
        self.watcher.join()

    def watch(self) -> None:
        """Note every daemon's revision again and again."""
        while self.watching:
            for name in self.fleet.daemons:
                revision = self.revision(name)
                process = str(self.fleet.programs[name].process.pid)
                if revision:
                    self.seen_revisions.setdefault(name, []).append(
                        (process, revision)
                    )
            time.sleep(0.05)

    def revision(self, name: str) -> int:
        """Return a daemon's revision; 0 if it does not answer."""
        try:
            return self.fleet.status(name)['revision']
        except OSError:
            return 0

    def check_revisions_monotonic(self) -> None:
        """Check that no process ever went back to an older revision."""
        for name, seen in self.seen_revisions.items():
            for before, after in zip(seen, seen[1:]):
                if before[0] == after[0]:
                    self.assertLessEqual(before[1], after[1], name)

    def set_rate(self, daemon: str, rate: float) -> int:
        """Change an account through a daemon; return the revision."""
        return operator.run_intent(
            self.fleet,
            daemon,
            'set-account',
            account='guild',
            rate=rate,
        ).revision

    def wait_in_force(self, revision: int) -> float:
        """Return the seconds until a revision is in force everywhere."""
        return processes.wait_for(
            lambda: all(
                self.revision(name) >= revision for name in self.fleet.daemons
            ),
            BOUND_SECONDS,
            f'revision {revision} in force',
        )


class TestInForce(ConfigurationCase):
    """Acceptance reaches every daemon."""

    def test_many_changes(self) -> None:
        """Ten changes through different daemons, with lost answers."""
        self.fleet.set_platform_faults(lose_share=0.3)
        names = list(self.fleet.daemons)
        seconds = [
            self.wait_in_force(self.set_rate(names[number % 6], 100 + number))
            for number in range(10)
        ]
        print(f'\n{self.id()}: in force after {max(seconds):.2f} s at worst')
        self.check_revisions_monotonic()

    def test_silent_after_acceptance(self) -> None:
        """The platform goes silent right after the acceptance."""
        revision = self.set_rate('vm3', 77)
        self.fleet.set_platform_faults(down=True, hang=True)
        self.wait_in_force(revision)
        self.check_revisions_monotonic()

    def test_restarted_while_silent(self) -> None:
        """A daemon that starts during an outage takes its peers' revision."""
        revision = self.set_rate('vm1', 50)
        self.wait_in_force(revision)
        self.fleet.set_platform_faults(down=True)
        self.fleet.programs['vm2'].kill()
        self.fleet.start_daemon('vm2')
        self.fleet.wait_ready()
        self.wait_in_force(revision)
        self.check_revisions_monotonic()

    def test_woken_daemon(self) -> None:
        """A paused daemon wakes to a newer revision."""
        self.fleet.programs['vm5'].pause()
        self.stop_watching()
        revision = self.set_rate('vm1', 33)
        time.sleep(3)
        self.fleet.programs['vm5'].resume()
        self.wait_in_force(revision)


class TestRace(ConfigurationCase):
    """Operators race each other."""

    def confirm(self, daemon: str, made: typing.Any) -> int:
        """Confirm a plan; return its revision, or 0 if it is stale."""
        try:
            return operator.confirm(self.fleet, daemon, made).revision
        except errors.OperatorError as error:
            self.assertEqual(error.code.number, 6005)
            return 0

    def test_one_wins(self) -> None:
        """Of two plans for one object one is accepted, one is refused."""

        for round_number in range(5):
            offers = {
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
                    workers.map(self.confirm, *zip(*offers.items()))
                )
            self.assertEqual(sorted(revisions)[0], 0)
            self.assertGreater(max(revisions), 1)
            self.wait_in_force(max(revisions))
        self.check_revisions_monotonic()


class TestCalls(ConfigurationCase):
    """Few daemons ask the platform for many."""

    def test_calls_are_bounded(self) -> None:
        """Idle daemons make few calls, and only the watchers make them."""
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
    """One daemon hears nothing for a while."""

    def setUp(self) -> None:
        """Put a relay before every peer listener."""
        self.relay = relay.Relay()
        self.addCleanup(self.relay.close)
        with relay.relay_all_peers(self.relay):
            super().setUp()

    def test_healed(self) -> None:
        """The newest revision is in force soon after the cut ends."""
        hosts = [place.host for place in self.fleet.daemons.values()]
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
