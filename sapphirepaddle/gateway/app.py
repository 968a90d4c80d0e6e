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
    request_context,
    caller_connection,
    dispatch,
    head,
    active_configuration,
    limiter,
    header_names,
    refusal,
)
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters, logs

Send = abc.Callable[[dict[str, typing.Any]], abc.Awaitable[None]]
RequestHandler = abc.Callable[
    [request_context.RequestContext], abc.Awaitable[answer.Answer]
]


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
        current: active_configuration.ActiveConfiguration,
        limits: limiter.Limiter,
        dispatcher: dispatch.Dispatcher,
        totals: counters.Counters,
    ) -> None:
        """Store the parts."""
        self.settings = settings
        self.active_configuration = current
        self.limiter = limits
        self.dispatcher = dispatcher
        self.run_claimed_request: RequestHandler = dispatcher.run
        self.is_isolated: abc.Callable[[], bool] = never_isolated
        self.counters = totals
        self.leaving = False
        self.active_requests = 0
        self.identifier_prefix = dispatcher.identifier_prefix
        self.request_numbers = itertools.count(1)
        self.logger = logs.get_logger('gateway')

    async def __call__(
        self,
        scope: head.Scope,
        receive: body.Receive,
        send: Send,
    ) -> None:
        """Serve one request (ASGI)."""
        self.active_requests += 1
        disconnect = scope[caller_connection.SCOPE_KEY]
        try:
            await self.serve(scope, receive, send)
        except asyncio.CancelledError:
            if not disconnect.fired:
                raise
            self.counters.add('callers_gone')
        finally:
            self.active_requests -= 1

    async def serve(
        self,
        scope: head.Scope,
        receive: body.Receive,
        send: Send,
    ) -> None:
        """Serve one request and answer it."""
        identifier = f'{self.identifier_prefix}-r{next(self.request_numbers)}'
        started = clock.monotonic()
        try:
            received = await self.process_request(scope, receive, identifier)
        except errors.RefusedError as error:
            self.record_refusal(error, identifier, scope)
            received = refusal.render(error, identifier)
        except Exception:
            self.logger.exception('internal error', request=identifier)
            internal = errors.RefusedError(codes.INTERNAL)
            received = refusal.render(internal, identifier)
        self.counters.add('requests', str(received.status))
        self.counters.add('request_seconds', '', clock.monotonic() - started)
        await self.reply(received, send)

    async def process_request(
        self,
        scope: head.Scope,
        receive: body.Receive,
        identifier: str,
    ) -> answer.Answer:
        """Authenticate, limit, and run one request.

        Raises:
            RefusedError: If it is refused.
        """
        request = self.create_context(head.read(scope), identifier)
        if request.route.idempotent:
            disconnect = scope[caller_connection.SCOPE_KEY]
            disconnect.task = asyncio.current_task()
        if request.route.access == 'keyed':
            await self.admit(request)
        request.body = await body.read(request.head, receive, self.settings)
        if self.needs_claim(request):
            return await self.run_claimed_request(request)
        return await self.dispatcher.run(request)

    def create_context(
        self, request: head.Head, identifier: str
    ) -> request_context.RequestContext:
        """Return the call of a request on its route.

        Raises:
            RefusedError: If there is none.
        """
        if not self.active_configuration.revision:
            raise errors.RefusedError(codes.NO_CONFIGURATION)
        if request.has_dot_segment():
            raise errors.RefusedError(codes.REQUEST_MALFORMED, 'dot segment')
        route = self.active_configuration.routes.find(request.path)
        if route is None:
            raise errors.RefusedError(codes.ROUTE_UNKNOWN)
        return request_context.RequestContext(identifier, request, route)

    async def admit(self, request: request_context.RequestContext) -> None:
        """Find the client account and take one request of its rate.

        Raises:
            RefusedError: If the key or the rate does not allow it.
        """
        if self.is_isolated():
            raise errors.RefusedError(codes.ISOLATED)
        request.account = authenticate.authenticate(
            request.head,
            self.active_configuration,
        )
        request.recheck_access = functools.partial(
            authenticate.authenticate,
            request.head,
            self.active_configuration,
        )
        await self.limiter.admit(request.account)

    def needs_claim(self, request: request_context.RequestContext) -> bool:
        """Tell whether the request has an idempotency key to claim."""
        keyed = header_names.IDEMPOTENCY_KEY in request.head.first_values
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
            head_of_answer.append((header_names.CONNECTION, b'close'))
        if received.stream is None:
            await self.reply_whole(received, send)
        else:
            await self.reply_stream(received, received.stream, send)

    async def reply_whole(self, received: answer.Answer, send: Send) -> None:
        """Send an answer whose body is held."""
        stated = any(
            name == header_names.CONTENT_LENGTH for name, _ in received.headers
        )
        if not stated and received.status not in STATUSES_WITHOUT_LENGTH:
            length = b'%d' % len(received.body)
            received.headers.append((header_names.CONTENT_LENGTH, length))
        await send(response_start(received))
        await send({'type': BODY_MESSAGE_TYPE, 'body': received.body})

    async def reply_stream(
        self,
        received: answer.Answer,
        stream: abc.AsyncGenerator[bytes, None],
        send: Send,
    ) -> None:
        """Send an answer whose body is still coming."""
        async with contextlib.aclosing(stream):
            await send(response_start(received))
            async for chunk in stream:
                await send(
                    {
                        'type': BODY_MESSAGE_TYPE,
                        'body': chunk,
                        'more_body': True,
                    }
                )
        await send({'type': BODY_MESSAGE_TYPE, 'body': b''})

    def record_refusal(
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


BODY_MESSAGE_TYPE: typing.Final = 'http.response.body'
STATUSES_WITHOUT_LENGTH: typing.Final = frozenset((204, 304))


def response_start(received: answer.Answer) -> dict[str, typing.Any]:
    """Return the ASGI message that starts an answer."""
    return {
        'type': 'http.response.start',
        'status': received.status,
        'headers': received.headers,
    }


def never_isolated() -> bool:
    """Tell that a daemon without peers is not isolated."""
    return False
