"""The audit trail."""

import unittest

from sapphirepaddle import clock
from sapphirepaddle.audit import audit_log
from sapphirepaddle.store import memory
from sapphirepaddle.telemetry import counters
from tests.claims import test_shard_log

DAY = audit_log.SECONDS_PER_DAY


class TestTrail(unittest.IsolatedAsyncioTestCase):
    """Writing and reading."""

    def trail(self, store: memory.MemoryStore, vm: str) -> audit_log.AuditLog:
        """Return the trail of a VM."""
        return audit_log.AuditLog(vm, 1, store, counters.Counters(), 30)

    async def test_nothing_lost_or_doubled(self) -> None:
        """With lost answers every entry is there once, in order."""
        store = test_shard_log.LossyStore(4)
        trails = [self.trail(store, vm) for vm in ('a', 'b')]
        for number in range(200):
            trails[number % 2].add('act', str(number))
            if number % 7 == 0:
                await trails[number % 2].flush()
        while any(
            held.pending_entries or held.batch_entries for held in trails
        ):
            for held in trails:
                await held.flush()
        found = await audit_log.read(store, 0)
        subjects = [int(added.subject) for added in found]
        self.assertEqual(subjects, list(range(200)))
        recent = await audit_log.read(store, found[150].at)
        self.assertEqual(len(recent), 50)

    async def test_bounded(self) -> None:
        """Entries past the retention are deleted."""
        store = memory.MemoryStore()
        held = self.trail(store, 'a')
        held.add('old', 'x')
        held.pending_entries[0] = audit_log.entry.AuditEntry(
            at=clock.wall() - 40 * DAY,
            vm='a',
            number=1,
            actor='a',
            action='old',
            subject='x',
        )
        await held.flush()
        held.add('new', 'y')
        await held.flush()
        await held.prune()
        found = await audit_log.read(store, 0)
        self.assertEqual([added.action for added in found], ['new'])


if __name__ == '__main__':
    unittest.main()
