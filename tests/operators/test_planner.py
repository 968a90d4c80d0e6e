"""Plans and their confirmation."""

import asyncio
import random
import unittest
from unittest import mock

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.audit import audit_log
from sapphirepaddle.fleet import configuration_sync
from sapphirepaddle.gateway import active_configuration
from sapphirepaddle.objects import change, key
from sapphirepaddle.operators import access, confirmer, plan, planner
from sapphirepaddle.peers import gossip, handshake, members, mesh
from sapphirepaddle.store import change_log, memory
from sapphirepaddle.routing import routing_table
from sapphirepaddle.settings import base, entry
from sapphirepaddle.telemetry import counters
from tests.claims import test_shard_log
from tests.support import fleet_case

DIGEST = key.digest(b'secret')


class SilentStore(memory.MemoryStore):
    """A store that can be silent."""

    down = False

    async def write(self, key: str, body: bytes, expected: int):
        """Write, unless silent."""
        if self.down:
            raise errors.PlatformUnavailableError('down')
        return await super().write(key, body, expected)

    async def list_page(self, prefix: str, after: str):
        """Read, unless silent."""
        if self.down:
            raise errors.PlatformUnavailableError('down')
        return await super().list_page(prefix, after)


class Daemon:
    """What a daemon needs to make and confirm plans."""

    def __init__(self, store: memory.MemoryStore) -> None:
        """Create the parts."""
        totals = counters.Counters()
        peers = mesh.Mesh(
            handshake.Identity('vm1', 'a', 1, ('s',)),
            base.Listener(port=1),
            entry.MembershipSettings(),
            members.Members('vm1', 'a'),
        )
        self.current = active_configuration.ActiveConfiguration()
        self.sync = configuration_sync.ConfigurationSync(
            self.current,
            peers,
            totals,
        )
        services = routing_table.RoutingTable(
            'a',
            entry.RoutingSettings(),
            clock.monotonic,
            random.Random(1),
        )
        self.audit = audit_log.AuditLog('vm1', 1, store, totals, 30)
        self.planner = planner.Planner(self.sync, services)
        self.confirmer = confirmer.Confirmer(
            self.sync,
            store,
            gossip.Gossip(peers, totals),
            self.audit,
        )

    def make(self, intent: str, override: bool = False, **fields) -> plan.Plan:
        """Make the plan of an intent."""
        wanted = planner.PlanRequest(
            intent=intent,
            fields=fields,
            overrides_floor=override,
        )
        return self.planner.make_plan(wanted, 'olga')


class PlannerCase(unittest.IsolatedAsyncioTestCase):
    """Two daemons on one store."""

    store_class: type[memory.MemoryStore] = SilentStore

    async def asyncSetUp(self) -> None:
        """Accept a configuration."""
        self.store = self.make_store()
        given = change.Put(
            kind='key',
            body={'name': DIGEST, 'account': 'guild'},
        )
        entry_ = change.Change(
            revision=1,
            author='a',
            reason='r',
            token='first',
            at=0,
            puts=(*fleet_case.small_configuration(), given),
        )
        await change_log.append(self.store, entry_)
        self.daemons = [Daemon(self.store) for _ in range(2)]
        for daemon in self.daemons:
            daemon.sync.apply_change(entry_.encode())

    def make_store(self) -> memory.MemoryStore:
        """Return the store."""
        return SilentStore()

    def code_of(self, intent: str, **fields) -> int:
        """Return the code of a refused intent."""
        with self.assertRaises(errors.PaddleError) as caught:
            self.daemons[0].make(intent, **fields)
        return caught.exception.code.number


class TestPlans(PlannerCase):
    """What a plan says."""

    async def test_effects(self) -> None:
        """The plan of an emptied zone names floors and warnings."""
        made = self.daemons[0].make('empty-zone', zone='b')
        found = {effect.service: effect.after for effect in made.floors}
        self.assertEqual(found, {'orders': 12, 'reads': 12})
        self.assertEqual(len(made.warnings), 2)

    async def test_refusals(self) -> None:
        """Wrong intents and broken floors have codes."""
        self.assertEqual(self.code_of('do-magic'), 6003)
        self.assertEqual(self.code_of('empty-zone'), 6003)
        self.assertEqual(self.code_of('empty-zone', zone='none'), 6003)
        self.assertEqual(self.code_of('empty-zone', zone='b', odd=1), 6003)
        self.assertEqual(
            self.code_of('set-account', account='x', rate=-1), 2001
        )
        emptied = self.daemons[0].make('empty-zone', zone='a')
        await self.daemons[0].confirmer.confirm(emptied, 'olga')
        self.assertEqual(self.code_of('empty-zone', zone='b'), 6004)
        made = self.daemons[0].make('empty-zone', override=True, zone='b')
        self.assertTrue(made.floors[0].is_broken)

    async def test_signature(self) -> None:
        """Only a plan that a daemon made is carried out."""
        made = self.daemons[0].make('empty-zone', zone='b')
        body = made.encode()
        signature = plan.sign(body, 'secret')
        self.assertEqual(
            plan.verify_and_decode(body, signature, ('x', 'secret')), made
        )
        with self.assertRaises(errors.OperatorError):
            plan.verify_and_decode(
                body.replace(b'"b"', b'"c"'), signature, ('secret',)
            )


class TestConfirmation(PlannerCase):
    """Carrying out exactly a plan."""

    async def test_twice_at_two_daemons(self) -> None:
        """Confirming again elsewhere does nothing more."""
        made = self.daemons[0].make('drain-target', target='reads-1')
        first = await self.daemons[0].confirmer.confirm(made, 'olga')
        second = await self.daemons[1].confirmer.confirm(made, 'olga')
        self.assertEqual((first.revision, second.revision), (2, 2))
        self.assertEqual(self.daemons[1].current.revision, 2)

    async def test_stale(self) -> None:
        """A plan on objects that changed is refused with the difference."""
        plans = [
            daemon.make('set-account', account='guild', rate=rate)
            for daemon, rate in zip(self.daemons, (5, 6), strict=True)
        ]
        await self.daemons[0].confirmer.confirm(plans[0], 'olga')
        with self.assertRaises(errors.OperatorError) as caught:
            await self.daemons[1].confirmer.confirm(plans[1], 'olga')
        self.assertIs(caught.exception.code, codes.PLAN_STALE)
        self.assertIn('"rate":5', caught.exception.detail)

    async def test_other_objects_do_not_matter(self) -> None:
        """A plan survives changes of other objects."""
        made = self.daemons[1].make('drain-target', target='reads-1')
        other = self.daemons[0].make('drain-target', target='reads-2')
        await self.daemons[0].confirmer.confirm(other, 'olga')
        outcome = await self.daemons[1].confirmer.confirm(made, 'olga')
        self.assertEqual(outcome.revision, 3)

    async def test_silent_platform(self) -> None:
        """A withdrawn key stops; anything else says that it waits."""
        self.store.down = True
        daemon = self.daemons[0]
        with mock.patch.object(change_log, 'READ_BACK_SECONDS', 0):
            made = daemon.make('drain-target', target='reads-1')
            with self.assertRaises(errors.PlatformUnavailableError):
                await daemon.confirmer.confirm(made, 'olga')
            made = daemon.make('withdraw-key', digest=DIGEST)
            outcome = await daemon.confirmer.confirm(made, 'olga')
        self.assertEqual(outcome.state, 'spread')
        news = daemon.confirmer.gossip.store
        self.assertIsNotNone(news.find('withdrawn', DIGEST))
        await daemon.confirmer.gossip.mesh.close()


class TestLostAnswers(PlannerCase):
    """Answers of the platform are lost after their effect."""

    def make_store(self) -> memory.MemoryStore:
        """Return a store that loses answers."""
        self.addCleanup(mock.patch.stopall)
        mock.patch.object(change_log, 'READ_BACK_SECONDS', 0).start()
        return test_shard_log.LossyStore(3)

    async def test_each_plan_once(self) -> None:
        """Every plan becomes one change, whoever confirms it how often."""
        plans = [
            self.daemons[0].make('drain-target', target=f'reads-{number}')
            for number in range(4)
        ]
        await asyncio.gather(
            *(
                daemon.confirmer.confirm(made, 'olga')
                for made in plans
                for daemon in self.daemons
            ),
        )
        entries = [
            change.decode(held.body or b'').token
            for held in await change_log.load_changes(self.store)
        ]
        self.assertEqual(len(entries), 5)
        self.assertEqual(len(set(entries)), 5)


class TestAccess(unittest.TestCase):
    """Operators and their roles."""

    def test_roles(self) -> None:
        """Tokens and roles are checked."""
        digest = key.hashlib.sha256(b'token').hexdigest()
        known = [entry.Operator(name='r', token_digest=digest)]
        caller = access.authenticate('Bearer token', known)
        for wrong in ('', 'Bearer ', 'Bearer other'):
            with self.assertRaises(errors.OperatorError):
                access.authenticate(wrong, known)
        with self.assertRaises(errors.OperatorError):
            access.require_operator(caller)


if __name__ == '__main__':
    unittest.main()
