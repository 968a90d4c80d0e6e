"""Tests of the audit log."""

import unittest

from sapphirepaddle import clock
from sapphirepaddle.audit import audit_log
from sapphirepaddle.store import memory
from sapphirepaddle.telemetry import counters
from tests.claims import test_shard_log

DAY = audit_log.SECONDS_PER_DAY


class TestAuditLog(unittest.IsolatedAsyncioTestCase):
    """Writing, reading and pruning of entries.

    A write whose response was lost may have taken effect; entries could then
    be lost, or stored twice by the retry.
    """

    def create_log(
        self, store: memory.MemoryStore, vm: str
    ) -> audit_log.AuditLog:
        """Return the audit log of a VM."""
        return audit_log.AuditLog(vm, 1, store, counters.Counters(), 30)

    async def test_each_entry_written_once(self) -> None:
        """Every entry is stored once and in order despite lost answers.

        A batch is written again if the answer to its write was lost.
        """
        store = test_shard_log.LossyStore(4)
        logs = [self.create_log(store, vm) for vm in ('a', 'b')]
        for number in range(200):
            logs[number % 2].add('act', str(number))
            if number % 7 == 0:
                await logs[number % 2].flush()
        while any(log.pending_entries or log.batch_entries for log in logs):
            for log in logs:
                await log.flush()
        entries = await audit_log.read(store, 0)
        subjects = [int(audit_entry.subject) for audit_entry in entries]
        self.assertEqual(subjects, list(range(200)))
        recent = await audit_log.read(store, entries[150].at)
        self.assertEqual(len(recent), 50)

    async def test_expired_entries_deleted(self) -> None:
        """Entries past the retention period are deleted."""
        store = memory.MemoryStore()
        log = self.create_log(store, 'a')
        log.add('old', 'x')
        log.pending_entries[0] = audit_log.entry.AuditEntry(
            at=clock.wall() - 40 * DAY,
            vm='a',
            number=1,
            actor='a',
            action='old',
            subject='x',
        )
        await log.flush()
        log.add('new', 'y')
        await log.flush()
        await log.prune()
        entries = await audit_log.read(store, 0)
        self.assertEqual(
            [audit_entry.action for audit_entry in entries], ['new']
        )


if __name__ == '__main__':
    unittest.main()
