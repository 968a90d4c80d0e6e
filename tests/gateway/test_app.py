"""The callers' application, without sockets."""

import asyncio
import typing
import unittest

import orjson

from sapphirepaddle.gateway import (
    answer,
    app,
    caller_connection,
    dispatch,
    active_configuration,
    limiter,
)
from sapphirepaddle.objects import change, key
from sapphirepaddle.routing import routing_table
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters
from tests.support import fleet_case

SECRET = b'secret-of-the-guild'


class FakeDispatcher(dispatch.Dispatcher):
    """Answers without targets."""

    outcome: typing.Any = None

    async def run(self, request):
        """Return or raise the outcome."""
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome or answer.Answer(200, [], b'ok')


class TestGateway(unittest.IsolatedAsyncioTestCase):
    """Requests and what comes back."""

    def setUp(self) -> None:
        """Create a gateway with a small configuration."""
        totals = counters.Counters()
        services = routing_table.RoutingTable(
            'a',
            entry.RoutingSettings(),
            lambda: 0,
            None,  # type: ignore[arg-type]
        )
        self.dispatcher = FakeDispatcher(
            entry.RoutingSettings(),
            services,
            totals,
            'vm1',
        )
        self.current = active_configuration.ActiveConfiguration()
        self.gateway = app.Gateway(
            entry.CallerLimits(),
            self.current,
            limiter.NoLimiter(),
            self.dispatcher,
            totals,
        )

    def accept(self, withdrawn: bool = False) -> None:
        """Put a configuration in force."""
        digest = key.digest(SECRET)
        open_route = {
            'name': 'open',
            'prefix': '/open',
            'service': 'reads',
            'access': 'open',
        }
        given = {'name': digest, 'account': 'guild', 'withdrawn': withdrawn}
        self.current.apply(
            change.Change(
                revision=1,
                author='a',
                reason='r',
                token='t',
                at=0,
                puts=(
                    *fleet_case.small_configuration(),
                    change.Put(kind='route', body=open_route),
                    change.Put(kind='key', body=given),
                ),
            ),
        )

    async def call(
        self,
        path: str = '/reads/1',
        secret: bytes = SECRET,
    ) -> tuple[int, dict[bytes, bytes], bytes]:
        """Make one request."""
        sent: list[dict[str, typing.Any]] = []

        async def send(message: dict[str, typing.Any]) -> None:
            sent.append(message)

        async def receive() -> dict[str, typing.Any]:
            return {'type': 'http.request', 'body': b'', 'more_body': False}

        scope = {
            'type': 'http',
            'method': 'GET',
            'path': path,
            'raw_path': path.encode(),
            'query_string': b'',
            'client': ('127.0.0.1', 1),
            'headers': [(b'authorization', b'Bearer ' + secret)],
            caller_connection.SCOPE_KEY: caller_connection.TaskCanceller(),
        }
        await self.gateway(scope, receive, send)
        return sent[0]['status'], dict(sent[0]['headers']), sent[1]['body']

    async def code_of(
        self, path: str = '/reads/1', secret: bytes = SECRET
    ) -> int:
        """Return the code of a refused request."""
        _, headers, body = await self.call(path, secret)
        code = orjson.loads(body)['code']
        self.assertEqual(headers[b'x-result-code'], b'%d' % code)
        self.assertIn(headers[b'x-run'], {b'not run', b'may have run'})
        return code

    async def test_refusals(self) -> None:
        """Each reason has its code."""
        self.assertEqual(await self.code_of(), 3014)
        self.accept()
        self.assertEqual(await self.code_of('/nowhere'), 3001)
        self.assertEqual(await self.code_of(secret=b''), 3002)
        self.assertEqual(await self.code_of(secret=b'wrong'), 3003)
        self.assertEqual(await self.code_of('/open/../orders'), 3008)
        self.gateway.is_isolated = lambda: True
        self.assertEqual(await self.code_of(), 3015)
        self.assertEqual((await self.call('/open'))[0], 200)

    async def test_withdrawn(self) -> None:
        """A withdrawn key is refused, an open route is not."""
        self.accept(withdrawn=True)
        self.assertEqual(await self.code_of(), 3004)
        self.assertEqual((await self.call('/open'))[0], 200)

    async def test_own_error(self) -> None:
        """An error of the daemon's own has a code and claims nothing."""
        self.accept()
        self.dispatcher.outcome = RuntimeError('bug')
        status, headers, _ = await self.call()
        self.assertEqual((status, headers[b'x-run']), (500, b'may have run'))

    async def test_leaving(self) -> None:
        """A leaving daemon asks callers to connect elsewhere."""
        self.accept()
        self.gateway.leaving = True
        status, headers, body = await self.call()
        self.assertEqual((status, body), (200, b'ok'))
        self.assertEqual(headers[b'connection'], b'close')

    async def test_cut_stream(self) -> None:
        """A streamed answer that is cut short ends in an error."""
        self.accept()

        async def stream() -> typing.AsyncGenerator[bytes, None]:
            yield b'part'
            await asyncio.sleep(0)
            raise dispatch.attempt.AttemptFailedError(
                dispatch.attempt.Fault.BROKEN,
            )

        self.dispatcher.outcome = answer.Answer(200, [], b'', stream())
        with self.assertRaises(dispatch.attempt.AttemptFailedError):
            await self.call()


if __name__ == '__main__':
    unittest.main()
