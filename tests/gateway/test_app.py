"""Tests of the ASGI application for callers, without sockets."""

import asyncio
import typing
import unittest

import orjson

from sapphirepaddle.gateway import (
    active_configuration,
    answer,
    app,
    caller_connection,
    dispatch,
    limiter,
)
from sapphirepaddle.objects import change, key
from sapphirepaddle.routing import routing_table
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters
from tests.support import fleet_case

SECRET = b'secret-of-the-guild'


class FakeDispatcher(dispatch.Dispatcher):
    """Dispatcher with a fixed outcome and no targets."""

    outcome: typing.Any = None

    async def run(self, request):
        """Raise the outcome if it is an error, else return it."""
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome or answer.Answer(200, [], b'ok')


class TestGateway(unittest.IsolatedAsyncioTestCase):
    """Each refusal must state its reason and whether the request may have run.

    Keys are missing, wrong or withdrawn, paths match no route, or the daemon
    fails, leaves or is isolated.
    """

    def setUp(self) -> None:
        """Create a gateway without configuration."""
        totals = counters.Counters()
        table = routing_table.RoutingTable(
            'a',
            entry.RoutingSettings(),
            lambda: 0,
            None,  # type: ignore[arg-type]
        )
        self.dispatcher = FakeDispatcher(
            entry.RoutingSettings(),
            table,
            totals,
            'vm1',
        )
        self.active_configuration = active_configuration.ActiveConfiguration()
        self.gateway = app.Gateway(
            entry.CallerLimits(),
            self.active_configuration,
            limiter.NoLimiter(),
            self.dispatcher,
            totals,
        )

    def apply_configuration(self, withdrawn: bool = False) -> None:
        """Apply a small configuration with one key and an open route."""
        digest = key.digest(SECRET)
        open_route = {
            'name': 'open',
            'prefix': '/open',
            'service': 'reads',
            'access': 'open',
        }
        key_body = {'name': digest, 'account': 'guild', 'withdrawn': withdrawn}
        self.active_configuration.apply(
            change.Change(
                revision=1,
                author='a',
                reason='r',
                token='t',
                at=0,
                puts=(
                    *fleet_case.small_configuration(),
                    change.Put(kind='route', body=open_route),
                    change.Put(kind='key', body=key_body),
                ),
            ),
        )

    async def call(
        self,
        path: str = '/reads/1',
        secret: bytes = SECRET,
    ) -> tuple[int, dict[bytes, bytes], bytes]:
        """Send one request; return status, headers and body of the answer."""
        sent_messages: list[dict[str, typing.Any]] = []

        async def send(message: dict[str, typing.Any]) -> None:
            sent_messages.append(message)

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
            caller_connection.CANCELLER_KEY: caller_connection.TaskCanceller(),
        }
        await self.gateway(scope, receive, send)
        return (
            sent_messages[0]['status'],
            dict(sent_messages[0]['headers']),
            sent_messages[1]['body'],
        )

    async def refusal_code(
        self, path: str = '/reads/1', secret: bytes = SECRET
    ) -> int:
        """Return the result code of a refused request."""
        _, headers, body = await self.call(path, secret)
        code = orjson.loads(body)['code']
        self.assertEqual(headers[b'x-result-code'], b'%d' % code)
        self.assertIn(headers[b'x-run'], {b'not run', b'may have run'})
        return code

    async def test_refusals(self) -> None:
        """Each reason for a refusal has its own result code."""
        self.assertEqual(await self.refusal_code(), 3014)
        self.apply_configuration()
        self.assertEqual(await self.refusal_code('/nowhere'), 3001)
        self.assertEqual(await self.refusal_code(secret=b''), 3002)
        self.assertEqual(await self.refusal_code(secret=b'wrong'), 3003)
        self.assertEqual(await self.refusal_code('/open/../orders'), 3008)
        self.gateway.is_isolated = lambda: True
        self.assertEqual(await self.refusal_code(), 3015)
        self.assertEqual((await self.call('/open'))[0], 200)

    async def test_withdrawn_key(self) -> None:
        """A withdrawn key is refused; an open route needs no key."""
        self.apply_configuration(withdrawn=True)
        self.assertEqual(await self.refusal_code(), 3004)
        self.assertEqual((await self.call('/open'))[0], 200)

    async def test_internal_error(self) -> None:
        """After an internal error, the refusal says "may have run"."""
        self.apply_configuration()
        self.dispatcher.outcome = RuntimeError('bug')
        status, headers, _ = await self.call()
        self.assertEqual((status, headers[b'x-run']), (500, b'may have run'))

    async def test_leaving_daemon(self) -> None:
        """A leaving daemon asks its callers to close their connections."""
        self.apply_configuration()
        self.gateway.leaving = True
        status, headers, body = await self.call()
        self.assertEqual((status, body), (200, b'ok'))
        self.assertEqual(headers[b'connection'], b'close')

    async def test_truncated_stream(self) -> None:
        """A streamed answer that ends early raises an error.

        Otherwise the caller would take the partial body for a complete one.
        """
        self.apply_configuration()

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
