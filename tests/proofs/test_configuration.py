"""An accepted configuration is in force everywhere and never reverts."""

import concurrent.futures
import threading
import time
import typing
import unittest

from sapphirepaddle import errors
from sapphirepaddle.standins import http_call, processes
from tests.support import operator, proof, relay

BOUND_SECONDS = 4
"""The letter: in force everywhere within 4 s."""


class ConfigurationCase(proof.FleetCase):
    """Watches the revisions in force."""

    def setUp(self) -> None:
        """Start watching every daemon's revision."""
        super().setUp()
        self.seen: dict[str, list[tuple[str, int]]] = {}
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
                    self.seen.setdefault(name, []).append((process, revision))
            time.sleep(0.05)

    def revision(self, name: str) -> int:
        """Return a daemon's revision; 0 if it does not answer."""
        try:
            return self.fleet.status(name)['revision']
        except OSError:
            return 0

    def check_never_back(self) -> None:
        """Check that no process ever went back to an older revision."""
        for name, seen in self.seen.items():
            for before, after in zip(seen, seen[1:]):
                if before[0] == after[0]:
                    self.assertLessEqual(before[1], after[1], name)

    def set_rate(self, daemon: str, rate: float) -> int:
        """Change an account through a daemon; return the revision."""
        return operator.carry_out(
            self.fleet,
            daemon,
            'set-account',
            account='guild',
            rate=rate,
        ).revision

    def in_force(self, revision: int) -> float:
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
        self.fleet.fault_platform(lose_share=0.3)
        names = list(self.fleet.daemons)
        seconds = [
            self.in_force(self.set_rate(names[number % 6], 100 + number))
            for number in range(10)
        ]
        print(f'\n{self.id()}: in force after {max(seconds):.2f} s at worst')
        self.check_never_back()

    def test_silent_after_acceptance(self) -> None:
        """The platform goes silent right after the acceptance."""
        revision = self.set_rate('vm3', 77)
        self.fleet.fault_platform(down=True, hang=True)
        self.in_force(revision)
        self.check_never_back()

    def test_restarted_while_silent(self) -> None:
        """A daemon that starts during an outage takes its peers' revision."""
        revision = self.set_rate('vm1', 50)
        self.in_force(revision)
        self.fleet.fault_platform(down=True)
        self.fleet.programs['vm2'].kill()
        self.fleet.start_daemon('vm2')
        self.fleet.wait_ready()
        self.in_force(revision)
        self.check_never_back()

    def test_woken_daemon(self) -> None:
        """A paused daemon wakes to a newer revision."""
        self.fleet.programs['vm5'].freeze()
        self.stop_watching()
        revision = self.set_rate('vm1', 33)
        time.sleep(3)
        self.fleet.programs['vm5'].wake()
        self.in_force(revision)


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
                daemon: operator.offer(
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
            self.in_force(max(revisions))
        self.check_never_back()


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


class TestCutLinks(ConfigurationCase):
    """One daemon hears nothing for a while."""

    def setUp(self) -> None:
        """Put a relay before every peer listener."""
        self.relay = relay.Relay()
        self.addCleanup(self.relay.close)
        with relay.before_every_daemon(self.relay):
            super().setUp()

    def test_healed(self) -> None:
        """The newest revision is in force soon after the cut ends."""
        hosts = [place.host for place in self.fleet.daemons.values()]
        self.fleet.fault_platform(blocked=['vm4'], hang=True)
        for host in hosts:
            self.relay.cut(host, self.fleet.daemons['vm4'].host)
        revision = self.set_rate('vm1', 42)
        time.sleep(3)
        self.relay.heal()
        self.fleet.fault_platform()
        self.in_force(revision)
        self.check_never_back()


if __name__ == '__main__':
    unittest.main()
