"""Tests of a change that a daemon has missed while others arrive."""

import random
import unittest
from unittest import mock

from sapphirepaddle import clock
from sapphirepaddle.directory import (
    member,
    memory_source,
    object_watcher,
)
from sapphirepaddle.edge import reader_role
from sapphirepaddle.peers import contact, count_exchange, fleet

STEP_SECONDS = 0.05
CHECK_STEPS = 5
CHANGE_STEPS = 6
SECOND_READER_DELAY_STEPS = 4
DRAIN_SECONDS = 2.0
SEEDS = range(20)
MISSED = 1 << 20


def make_member(name: str) -> member.Member:
    """Return a member of the zone."""
    return member.Member(name=name, zone='a', host='127.0.0.1', incarnation=1)


class MissedChange:
    """A daemon that misses one of many changes, on virtual time.

    The first reader reports each change at once, the second one later. All
    changes but one are relayed to the daemon.

    Attributes:
        now: Virtual time, in seconds.
        fingerprint: Fingerprint of the daemon's targets.
        listed_at: Times at which it requested the full list.
    """

    def __init__(self) -> None:
        """Create the role of a daemon that knows two readers."""
        self.now = 1000.0
        self.fingerprint = 1
        self.listed_at: list[float] = []
        local = make_member('vm-0')
        self.fleet = fleet.Fleet(local)
        self.names = sorted(
            (f'vm-{number}' for number in range(1, 9)),
            key=fleet.digest.hash_name,
        )[-2:]
        for name in self.names:
            self.fleet.add(make_member(name))
        exchange = mock.Mock(spec=count_exchange.CountExchange)
        exchange.fleet = self.fleet
        exchange.read_targets_fingerprint = lambda: self.fingerprint
        self.role = reader_role.ReaderRole(
            self.make_watcher(), self.make_watcher(), exchange
        )

    def make_watcher(self) -> object_watcher.ObjectWatcher:
        """Return a watcher that makes no calls."""
        return object_watcher.ObjectWatcher(
            memory_source.MemorySource(),
            'kind',
            lambda _: None,
            lambda _: None,
        )

    def report(self, name: str, fingerprint: int) -> None:
        """Receive the fingerprint that a reader has sent."""
        self.fleet.record_message(
            fleet.digest.hash_name(name), contact.LONG_CONTACT, fingerprint
        )

    def apply(self, fingerprint: int) -> None:
        """Let the daemon have the targets with a fingerprint."""
        self.fingerprint = fingerprint
        self.role.freshness.record_local(fingerprint)

    def delay_until_list(self, rng: random.Random) -> float:
        """Return the seconds from the missed change to the full list."""
        start_step = rng.randrange(200, 800)
        states = [1] * SECOND_READER_DELAY_STEPS
        missed_at = 0.0
        mask = 0
        for step in range(start_step + 1200):
            self.now += STEP_SECONDS
            state = 2 + step // CHANGE_STEPS
            if step == start_step:
                missed_at = self.now
                mask = MISSED
            states.append(state ^ mask)
            self.apply(state)
            self.report(self.names[0], states[-1])
            self.report(self.names[1], states[-1 - SECOND_READER_DELAY_STEPS])
            if step % CHECK_STEPS == 0:
                self.role.watchers[0].next_call.must_list = False
                self.role.reconcile()
            if missed_at and self.role.watchers[0].next_call.must_list:
                return self.now - missed_at
        return self.now - missed_at


class TestMissedChange(unittest.IsolatedAsyncioTestCase):
    """The full list must not wait for lists that other changes have caused.

    A target that left was used for up to 19 s, as the daemon had requested a
    list shortly before it missed the change.
    """

    async def test_list_is_requested_within_the_bound_for_draining(
        self,
    ) -> None:
        delays = []
        for seed in SEEDS:
            case = MissedChange()
            with mock.patch.object(clock, 'monotonic', lambda: case.now):
                case.role.settled_at = 0
                delays.append(case.delay_until_list(random.Random(seed)))
        self.assertLessEqual(max(delays), DRAIN_SECONDS, sorted(delays))
