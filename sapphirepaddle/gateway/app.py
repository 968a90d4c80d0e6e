"""The ASGI application that serves callers."""

import asyncio
import contextlib
import functools
import itertools
import typing
from collections import abc

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.gateway import (
    active_configuration,
    answer,
    authenticate,
    body,
    caller_connection,
    dispatch,
    head,
    header_names,
    limiter,
    refusal,
    request_context,
)
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters, logs

Send = abc.Callable[[dict[str, typing.Any]], abc.Awaitable[None]]
RequestHandler = abc.Callable[
    [request_context.RequestContext], abc.Awaitable[answer.Answer]
]


class Gateway:
    """Authenticates, limits and forwards the requests of callers.

    Attributes:
        settings: Size and time limits of requests.
        active_configuration: The active configuration.
        limiter: Enforces rate and burst of client accounts.
        dispatcher: Sends requests to targets.
        run_claimed_request: Runs a request that has an idempotency key.
        is_isolated: Returns whether this daemon is cut off from the
            platform and most peers.
        counters: Counters for metrics.
        leaving: Whether callers are asked to connect to another daemon.
        active_requests: Number of requests in progress.
        identifier_prefix: Prefix of request identifiers.
        request_numbers: Generates the number in each request identifier.
        logger: Logs refusals and internal errors.
    """

    def __init__(
        self,
        settings: entry.CallerLimits,
        current_configuration: active_configuration.ActiveConfiguration,
        account_limiter: limiter.Limiter,
        dispatcher: dispatch.Dispatcher,
        totals: counters.Counters,
    ) -> None:
        """Initialize with handlers for a daemon without peers or claims."""
        self.settings = settings
        self.active_configuration = current_configuration
        self.limiter = account_limiter
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
        """Serve one request (ASGI entry point)."""
        self.active_requests += 1
        canceller = scope[caller_connection.CANCELLER_KEY]
        try:
            await self.serve(scope, receive, send)
        except asyncio.CancelledError:
            if not canceller.is_disconnected:
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
        """Process one request and send its answer or refusal."""
        identifier = f'{self.identifier_prefix}-r{next(self.request_numbers)}'
        started_at = clock.monotonic()
        try:
            caller_answer = await self.process_request(
                scope, receive, identifier
            )
        except errors.RefusedError as error:
            self.record_refusal(error, identifier, scope)
            caller_answer = refusal.render(error, identifier)
        except Exception:
            self.logger.exception('internal error', request=identifier)
            internal_error = errors.RefusedError(codes.INTERNAL)
            caller_answer = refusal.render(internal_error, identifier)
        self.counters.add('requests', str(caller_answer.status))
        self.counters.add('request_seconds', '', clock.monotonic() - started_at)
        await self.send_answer(caller_answer, send)

    async def process_request(
        self,
        scope: head.Scope,
        receive: body.Receive,
        identifier: str,
    ) -> answer.Answer:
        """Authenticate, rate-limit and run one request.

        Raises:
            RefusedError: If the request is refused.
        """
        request = self.create_context(head.read(scope), identifier)
        if request.route.idempotent:
            canceller = scope[caller_connection.CANCELLER_KEY]
            canceller.task = asyncio.current_task()
        if request.route.access == 'keyed':
            await self.admit(request)
        request.body = await body.read(request.head, receive, self.settings)
        if self.needs_claim(request):
            return await self.run_claimed_request(request)
        return await self.dispatcher.run(request)

    def create_context(
        self, request_head: head.Head, identifier: str
    ) -> request_context.RequestContext:
        """Return the context of a request, with its route.

        Raises:
            RefusedError: If there is no configuration yet, the path has a
                dot segment or no route matches it.
        """
        if not self.active_configuration.revision:
            raise errors.RefusedError(codes.NO_CONFIGURATION)
        if request_head.has_dot_segment():
            raise errors.RefusedError(
                codes.REQUEST_MALFORMED, 'path has a dot segment'
            )
        route = self.active_configuration.routes.find(request_head.path)
        if route is None:
            raise errors.RefusedError(codes.ROUTE_UNKNOWN)
        return request_context.RequestContext(identifier, request_head, route)

    async def admit(self, request: request_context.RequestContext) -> None:
        """Authenticate the request and count it against the account's rate.

        Raises:
            RefusedError: If the daemon is isolated, the key is not valid
                or the account is over its rate.
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
        """Return whether the request's idempotency key must be claimed.

        Requests on idempotent routes need no claim.
        """
        has_idempotency_key = (
            header_names.IDEMPOTENCY_KEY in request.head.first_values
        )
        return has_idempotency_key and not request.route.idempotent

    async def send_answer(
        self, caller_answer: answer.Answer, send: Send
    ) -> None:
        """Send an answer to the caller.

        Raises:
            AttemptFailedError: If a streamed body ends early. The server
                then closes the connection, so that the caller does not
                mistake the partial body for a complete one.
        """
        answer_headers = caller_answer.headers
        if self.leaving:
            answer_headers.append((header_names.CONNECTION, b'close'))
        if caller_answer.stream is None:
            await self.send_buffered(caller_answer, send)
        else:
            await self.send_stream(caller_answer, caller_answer.stream, send)

    async def send_buffered(
        self, caller_answer: answer.Answer, send: Send
    ) -> None:
        """Send an answer whose body is buffered."""
        has_length = any(
            name == header_names.CONTENT_LENGTH
            for name, _ in caller_answer.headers
        )
        if (
            not has_length
            and caller_answer.status not in STATUSES_WITHOUT_LENGTH
        ):
            length = b'%d' % len(caller_answer.body)
            caller_answer.headers.append((header_names.CONTENT_LENGTH, length))
        await send(response_start(caller_answer))
        await send({'type': BODY_MESSAGE_TYPE, 'body': caller_answer.body})

    async def send_stream(
        self,
        caller_answer: answer.Answer,
        body_stream: abc.AsyncGenerator[bytes, None],
        send: Send,
    ) -> None:
        """Send an answer whose body is streamed."""
        async with contextlib.aclosing(body_stream):
            await send(response_start(caller_answer))
            async for chunk in body_stream:
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
        """Count and log a refusal; headers are omitted, as they hold keys."""
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


def response_start(caller_answer: answer.Answer) -> dict[str, typing.Any]:
    """Return the ASGI message with the status and headers of an answer."""
    return {
        'type': 'http.response.start',
        'status': caller_answer.status,
        'headers': caller_answer.headers,
    }


def never_isolated() -> bool:
    """Return False: a daemon without peers is never isolated."""
    return False
