"""The callers' HTTP application: from request to answer."""

import asyncio
import contextlib
import functools
import itertools
import typing
from collections import abc

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.gateway import (
    answer,
    authenticate,
    body,
    call,
    caller_connection,
    dispatch,
    head,
    in_force,
    limiter,
    names,
    refusal,
)
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters, logs

Send = abc.Callable[[dict[str, typing.Any]], abc.Awaitable[None]]
Runner = abc.Callable[[call.Call], abc.Awaitable[answer.Answer]]


class Gateway:
    """Serves callers.

    Attributes:
        settings: Bounds on requests.
        current: The configuration in force.
        limiter: Rate and burst of client accounts.
        dispatcher: Sends requests to targets.
        run_order: Runs a request that carries an idempotency key.
        is_isolated: Tells whether platform and peers are silent.
        counters: Totals for metrics.
        leaving: Whether callers are asked to connect elsewhere.
        serving: Requests being served.
        prefix: Start of request identifiers.
        numbers: Numbers of requests.
        logger: Log of refusals.
    """

    def __init__(
        self,
        settings: entry.CallerLimits,
        current: in_force.InForce,
        limits: limiter.Limiter,
        dispatcher: dispatch.Dispatcher,
        totals: counters.Counters,
    ) -> None:
        """Store the parts."""
        self.settings = settings
        self.current = current
        self.limiter = limits
        self.dispatcher = dispatcher
        self.run_order: Runner = dispatcher.run
        self.is_isolated: abc.Callable[[], bool] = never
        self.counters = totals
        self.leaving = False
        self.serving = 0
        self.prefix = dispatcher.prefix
        self.numbers = itertools.count(1)
        self.logger = logs.get_logger('gateway')

    async def __call__(
        self,
        scope: head.Scope,
        receive: body.Receive,
        send: Send,
    ) -> None:
        """Serve one request (ASGI)."""
        self.serving += 1
        disconnect = scope[caller_connection.DISCONNECT]
        try:
            await self.serve(scope, receive, send)
        except asyncio.CancelledError:
            if not disconnect.fired:
                raise
            self.counters.add('callers_gone')
        finally:
            self.serving -= 1

    async def serve(
        self,
        scope: head.Scope,
        receive: body.Receive,
        send: Send,
    ) -> None:
        """Serve one request and answer it."""
        identifier = f'{self.prefix}-r{next(self.numbers)}'
        started = clock.monotonic()
        try:
            received = await self.process(scope, receive, identifier)
        except errors.RefusedError as error:
            self.note_refusal(error, identifier, scope)
            received = refusal.render(error, identifier)
        except Exception:
            self.logger.exception('internal error', request=identifier)
            internal = errors.RefusedError(codes.INTERNAL)
            received = refusal.render(internal, identifier)
        self.counters.add('requests', str(received.status))
        self.counters.add('request_seconds', '', clock.monotonic() - started)
        await self.reply(received, send)

    async def process(
        self,
        scope: head.Scope,
        receive: body.Receive,
        identifier: str,
    ) -> answer.Answer:
        """Authenticate, limit, and run one request.

        Raises:
            RefusedError: If it is refused.
        """
        request = self.find_route(head.read(scope), identifier)
        if request.route.idempotent:
            disconnect = scope[caller_connection.DISCONNECT]
            disconnect.task = asyncio.current_task()
        if request.route.access == 'keyed':
            await self.admit(request)
        request.body = await body.read(request.head, receive, self.settings)
        if self.is_order(request):
            return await self.run_order(request)
        return await self.dispatcher.run(request)

    def find_route(self, request: head.Head, identifier: str) -> call.Call:
        """Return the call of a request on its route.

        Raises:
            RefusedError: If there is none.
        """
        if not self.current.revision:
            raise errors.RefusedError(codes.NO_CONFIGURATION)
        if request.has_dot_segment():
            raise errors.RefusedError(codes.REQUEST_MALFORMED, 'dot segment')
        route = self.current.routes.find(request.path)
        if route is None:
            raise errors.RefusedError(codes.ROUTE_UNKNOWN)
        return call.Call(identifier, request, route)

    async def admit(self, request: call.Call) -> None:
        """Find the client account and take one request of its rate.

        Raises:
            RefusedError: If the key or the rate does not allow it.
        """
        if self.is_isolated():
            raise errors.RefusedError(codes.ISOLATED)
        request.account = authenticate.authenticate(
            request.head,
            self.current,
        )
        request.check_access = functools.partial(
            authenticate.authenticate,
            request.head,
            self.current,
        )
        await self.limiter.admit(request.account)

    def is_order(self, request: call.Call) -> bool:
        """Tell whether the request has an idempotency key to claim."""
        keyed = names.IDEMPOTENCY_KEY in request.head.index
        return keyed and not request.route.idempotent

    async def reply(self, received: answer.Answer, send: Send) -> None:
        """Send an answer to the caller.

        Raises:
            AttemptFailedError: If a streamed body is cut short; the server
                then closes the connection, so that it does not pass as
                whole.
        """
        head_of_answer = received.headers
        if self.leaving:
            head_of_answer.append((names.CONNECTION, b'close'))
        if received.stream is None:
            await self.reply_whole(received, send)
        else:
            await self.reply_stream(received, received.stream, send)

    async def reply_whole(self, received: answer.Answer, send: Send) -> None:
        """Send an answer whose body is held."""
        stated = any(
            name == names.CONTENT_LENGTH for name, _ in received.headers
        )
        if not stated and received.status not in NO_LENGTH:
            length = b'%d' % len(received.body)
            received.headers.append((names.CONTENT_LENGTH, length))
        await send(start(received))
        await send({'type': BODY, 'body': received.body})

    async def reply_stream(
        self,
        received: answer.Answer,
        stream: abc.AsyncGenerator[bytes, None],
        send: Send,
    ) -> None:
        """Send an answer whose body is still coming."""
        async with contextlib.aclosing(stream):
            await send(start(received))
            async for chunk in stream:
                await send({'type': BODY, 'body': chunk, 'more_body': True})
        await send({'type': BODY, 'body': b''})

    def note_refusal(
        self,
        error: errors.RefusedError,
        identifier: str,
        scope: head.Scope,
    ) -> None:
        """Count and log a refusal; no header is logged."""
        self.counters.add('refusals', error.code.name)
        self.logger.info(
            'refused',
            request=identifier,
            code=error.code.number,
            name=error.code.name,
            method=scope['method'],
            path=scope['path'],
            detail=error.detail,
        )


BODY: typing.Final = 'http.response.body'
NO_LENGTH: typing.Final = frozenset((204, 304))


def start(received: answer.Answer) -> dict[str, typing.Any]:
    """Return the ASGI message that starts an answer."""
    return {
        'type': 'http.response.start',
        'status': received.status,
        'headers': received.headers,
    }


def never() -> bool:
    """Tell that a daemon without peers is not isolated."""
    return False
