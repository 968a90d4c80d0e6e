"""The edge daemon's life, its knowledge and its fleet."""

import asyncio

from sapphirepaddle.directory import source
from tests.support import edge_daemon_case, scripted_target, platform_objects

request = edge_daemon_case.request


class TestConfiguration(edge_daemon_case.EdgeDaemonCase):
    """Configuration in force."""

    async def test_without_configuration_nothing_is_denied(self) -> None:
        self.source.is_unavailable = True
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.5):
                await self.start_daemon()
        callers = self.daemons[0].components.caller_listener
        await self.wait_until(lambda: callers.server is not None)
        reply = await self.send_raw(self.daemons[0], request('/reads/x'))
        self.assertEqual(reply.status, 503)
        self.assertIn('retry-after', reply.headers)

    async def test_change_comes_into_force(self) -> None:
        await self.add_target('t-1', 'reads')
        running = await self.start_daemon()
        newer = platform_objects.configuration(2, virtualHosts=[])
        await self.configure(newer)
        await self.wait_until(lambda: running.components.directory.version == 2)
        reply = await self.send_raw(running, request('/reads/x'))
        self.assertEqual(reply.status, 404)

    async def test_older_version_is_not_taken_up(self) -> None:
        running = await self.start_daemon()
        await self.configure(platform_objects.configuration(5))
        await self.wait_until(lambda: running.components.directory.version == 5)
        await self.configure(platform_objects.configuration(4))
        await asyncio.sleep(0.8)
        self.assertEqual(running.components.directory.version, 5)

    async def test_withdrawn_key_stops_on_an_open_connection(self) -> None:
        await self.add_target('t-1', 'reads')
        running = await self.start_daemon()
        reader, writer = await self.connect(running)
        writer.write(request('/reads/x', 'before'))
        before = await edge_daemon_case.read_reply(reader)
        accounts = [{'name': 'first', 'apiKeys': ['other']}]
        await self.configure(
            platform_objects.configuration(2, tenants=accounts)
        )
        await self.wait_until(lambda: running.components.directory.version == 2)
        writer.write(request('/reads/x', 'after'))
        after = await edge_daemon_case.read_reply(reader)
        self.assertEqual((before.status, after.status), (200, 401))
        writer.close()

    async def test_lost_history_is_read_anew(self) -> None:
        running = await self.start_daemon()
        self.source.drop_history()
        await self.configure(platform_objects.configuration(2))
        await self.wait_until(lambda: running.components.directory.version == 2)

    async def test_new_daemon_learns_from_peers_in_an_outage(self) -> None:
        await self.add_target('t-1', 'reads')
        await self.start_daemon(1)
        self.source.is_unavailable = True
        newcomer = await self.start_daemon(2)
        reply = await self.send_raw(newcomer, request('/reads/x'))
        self.assertEqual(reply.status, 200)


class TestTargets(edge_daemon_case.EdgeDaemonCase):
    """Targets that come and go."""

    async def asyncSetUp(self) -> None:
        """Start two targets."""
        await super().asyncSetUp()
        self.first = await self.add_target('t-1', 'reads')
        self.second = await self.add_target('t-2', 'reads')
        self.daemon = await self.start_daemon()

    async def send_many(self) -> None:
        """Send some requests."""
        for number in range(10):
            raw = request('/reads/x', f'm{number}')
            reply = await self.send_raw(self.daemon, raw)
            self.assertEqual(reply.status, 200)

    async def test_draining_target_gets_nothing(self) -> None:
        entry = platform_objects.target(
            'reads', self.first.port, state='draining'
        )
        await self.source.apply_change('servers', source.Entry('t-1', entry))
        held = self.daemon.components.directory.find_target('t-1')
        assert held is not None
        await self.wait_until(lambda: held.registration.is_draining)
        await self.send_many()
        self.assertEqual(self.first.received, [])

    async def test_removed_target_gets_nothing(self) -> None:
        await self.source.apply_change('servers', source.Entry('t-1', None))
        await self.wait_until(
            lambda: self.daemon.components.directory.find_target('t-1') is None
        )
        await self.send_many()
        self.assertEqual(self.first.received, [])

    async def test_malformed_entry_upsets_no_other(self) -> None:
        entry = platform_objects.target('reads', self.first.port)
        entry['born'] = 'yesterday'
        await self.source.apply_change('servers', source.Entry('t-1', entry))
        await self.wait_until(
            lambda: self.daemon.components.directory.find_target('t-1') is None
        )
        await self.send_many()
        self.assertEqual(self.first.received, [])

    async def test_same_name_born_again_starts_without_evidence(self) -> None:
        known = self.daemon.components.directory.find_target('t-1')
        assert known is not None
        known.record_answer(is_good=False, now=0)
        entry = platform_objects.target('reads', self.first.port, born=2)
        await self.source.apply_change('servers', source.Entry('t-1', entry))
        await self.wait_until(
            lambda: (
                self.daemon.components.directory.find_target('t-1') is not known
            ),
        )
        self.assertEqual(
            self.daemon.components.directory.find_target('t-1').result_count, 0
        )


class TestFleet(edge_daemon_case.EdgeDaemonCase):
    """Daemons that count together."""

    configuration = platform_objects.configuration(
        tenants=[
            {
                'name': 'first',
                'apiKeys': [platform_objects.FIRST_KEY],
                'ratePerS': 0.001,
                'burst': 20,
            },
        ],
    )

    async def test_quota_holds_over_all_daemons(self) -> None:
        await self.add_target('t-1', 'reads')
        daemons = [
            await self.start_daemon(number, zone)
            for number, zone in ((1, 'a'), (2, 'a'), (3, 'b'))
        ]
        await self.wait_until(
            lambda: all(held.components.fleet.size == 3 for held in daemons),
        )
        statuses = []
        for number in range(60):
            running = daemons[number % 3]
            reply = await self.send_raw(
                running, request('/reads/x', f'q{number}')
            )
            statuses.append(reply.status)
            await asyncio.sleep(0.02)
        admitted = statuses.count(200)
        bounds = self.bounds
        most = 20 * (1 + bounds.quota_excess) + bounds.quota_slack
        self.assertLessEqual(admitted, most)
        self.assertGreaterEqual(admitted, 20)
        self.assertIn(429, statuses)

    async def test_evidence_of_one_daemon_reaches_all(self) -> None:
        async def fail(asked: scripted_target.ReceivedRequest) -> None:
            asked.answer(500, b'')

        await self.add_target('t-1', 'reads', fail)
        daemons = [
            await self.start_daemon(number, zone)
            for number, zone in ((1, 'a'), (2, 'a'), (3, 'b'))
        ]
        await self.wait_until(
            lambda: all(held.components.fleet.size == 3 for held in daemons),
        )
        await self.send_raw(daemons[0], request('/reads/x'))
        for running in daemons:
            held = running.components.directory.find_target('t-1')
            assert held is not None
            await self.wait_until(lambda: held.result_count > 0)


class TestStop(edge_daemon_case.EdgeDaemonCase):
    """A planned stop."""

    bounds = edge_daemon_case.edge.Bounds(stop=5)

    async def asyncSetUp(self) -> None:
        """Start a slow target and a daemon."""
        await super().asyncSetUp()

        async def answer_late(asked: scripted_target.ReceivedRequest) -> None:
            await asyncio.sleep(0.5)
            asked.answer()

        await self.add_target('t-1', 'reads', answer_late)
        self.daemon = await self.start_daemon()
        self.stop, self.task = self.running_tasks[0]

    async def test_running_requests_are_answered(self) -> None:
        reader, writer = await self.connect(self.daemon)
        writer.write(request('/reads/x'))
        await asyncio.sleep(0.1)
        self.stop.set()
        reply = await edge_daemon_case.read_reply(reader)
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.headers['connection'], 'close')
        writer.close()

    async def test_readiness_is_refused_at_once(self) -> None:
        self.stop.set()
        await asyncio.sleep(0.05)
        place = self.daemon.settings.ready
        reader, writer = await asyncio.open_connection(place.host, place.port)
        writer.write(b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
        reply = await edge_daemon_case.read_reply(reader)
        self.assertEqual(reply.status, 503)
        writer.close()

    async def test_idle_connections_are_closed_before_the_end(self) -> None:
        reader, writer = await self.connect(self.daemon)
        writer.write(request('/reads/x'))
        await edge_daemon_case.read_reply(reader)
        self.stop.set()
        self.assertEqual(await reader.read(), b'')
        self.assertFalse(self.task.done())
        writer.close()

    async def test_late_request_is_refused_as_not_run(self) -> None:
        self.daemon.components.forwarder.is_refusing = True
        reply = await self.send_raw(self.daemon, request('/reads/x'))
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.targets['t-1'].received, [])
