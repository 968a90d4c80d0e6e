"""Serves callers' requests: authentication, quota, routing and the answer."""

import random
import typing

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.directory import account, configuration, directory, route
from sapphirepaddle.gateway import answer
from sapphirepaddle.gateway import headers as header_rules
from sapphirepaddle.limits import account_quotas
from sapphirepaddle.proxy import (
    handler,
    header_codec,
    http_message,
    refusal,
    request,
    request_context,
    sender,
)
from sapphirepaddle.routing import cost_weights
from sapphirepaddle.telemetry import counters, logs

IDEMPOTENT_FAILURE_COST: typing.Final = 1.0
"""Cost of a failure that can be retried at another target, in latency
objectives."""
NON_IDEMPOTENT_FAILURE_COST: typing.Final = 5.0
"""Cost of a failure that must not be retried, in latency objectives."""
LATE_COST_RATIO: typing.Final = 0.6
"""Cost of an answer that misses the latency objective, relative to that of a
failure: most of its value is lost."""
STARTING_RETRY_SECONDS: typing.Final = 1.0
"""Retry hint for callers while no configuration is loaded."""
STOPPING_RETRY_SECONDS: typing.Final = 0.1
"""Retry hint for callers of a stopping daemon; other daemons serve at once."""
SLASH: typing.Final = b'/'


class Forwarder(handler.Handler):
    """Answers callers' requests with the answers of targets.

    Attributes:
        directory: Configuration and targets.
        header_codec: Reads and writes the headers of both sides.
        quotas: Quotas of the client accounts.
        sender: Sends requests to targets, with retries.
        counters: Totals for metrics.
        decisions: Log of decisions.
        rng: Random number generator for the choice of a service.
        active_requests: Number of requests in progress.
        is_refusing: Whether new requests are refused because the daemon is
            about to stop.
        logger: Log of internal errors.
    """

    def __init__(
        self,
        target_directory: directory.Directory,
        codec: header_codec.HeaderCodec,
        quotas: account_quotas.AccountQuotas,
        retrying_sender: sender.RetryingSender,
        totals: counters.Counters,
    ) -> None:
        """Initialize with no requests in progress."""
        self.directory = target_directory
        self.header_codec = codec
        self.quotas = quotas
        self.sender = retrying_sender
        self.counters = totals
        self.decisions = retrying_sender.decisions
        self.rng = random.Random()
        self.active_requests = 0
        self.is_refusing = False
        self.logger = logs.get_logger('forwarder')

    async def handle(self, caller_request: request.Request) -> answer.Answer:
        """Answer a request with a target's answer or a refusal."""
        metadata = self.header_codec.read_request(caller_request.headers)
        self.active_requests += 1
        try:
            caller_answer = await self.process(caller_request, metadata)
        except errors.RefusedError as error:
            caller_answer = self.render(error, metadata.identifier)
        except Exception:
            self.logger.exception('internal error', request=metadata.identifier)
            refused_error = errors.RefusedError(codes.INTERNAL)
            caller_answer = self.render(refused_error, metadata.identifier)
        finally:
            self.active_requests -= 1
        seconds = clock.monotonic() - caller_request.received_at
        self.counters.add('requests', str(caller_answer.status))
        self.counters.observe('request_seconds', seconds)
        self.decisions.log_decision(
            'answer',
            request=metadata.identifier,
            status=caller_answer.status,
            seconds=round(seconds, 3),
        )
        return caller_answer

    def refuse(self, status: int, detail: str) -> answer.Answer:
        """Return the answer to a malformed or oversized request."""
        code = refusal.CODE_BY_STATUS.get(status, codes.REQUEST_MALFORMED)
        self.decisions.log_decision('malformed', status=status, detail=detail)
        return refusal.render(errors.RefusedError(code, detail), [])

    def render(
        self,
        error: errors.RefusedError,
        identifier: str,
    ) -> answer.Answer:
        """Return the answer to a refused request and log the refusal."""
        self.decisions.log_decision(
            'refusal',
            request=identifier,
            code=error.code.name,
            detail=error.detail,
            retry_after=error.retry_after,
            configuration=self.directory.version,
        )
        headers = self.header_codec.write_refusal(identifier, error.retry_after)
        return refusal.render(error, headers)

    async def process(
        self,
        caller_request: request.Request,
        metadata: header_codec.RequestMetadata,
    ) -> answer.Answer:
        """Forward a request to its service.

        Raises:
            RefusedError: If it is refused or no target answers.
        """
        if self.is_refusing:
            raise errors.RefusedError(
                codes.STOPPING,
                retry_after=STOPPING_RETRY_SECONDS,
            )
        active_configuration = self.directory.configuration
        if active_configuration is None:
            raise errors.RefusedError(
                codes.NO_CONFIGURATION,
                retry_after=STARTING_RETRY_SECONDS,
            )
        context = self.build_context(
            caller_request, metadata, active_configuration
        )
        if not self.sender.has_time(context):
            raise errors.RefusedError(
                codes.STOPPING, context.service, STOPPING_RETRY_SECONDS
            )
        self.acquire_quota(context)
        self.directory.record_request(context.service)
        target_answer = await self.sender.run(context)
        return to_caller_answer(target_answer)

    def build_context(
        self,
        caller_request: request.Request,
        metadata: header_codec.RequestMetadata,
        active_configuration: configuration.Configuration,
    ) -> request_context.RequestContext:
        """Determine route, client account, service and deadline.

        Raises:
            RefusedError: If the configuration does not allow the request.
        """
        if not caller_request.target.startswith(SLASH):
            raise errors.RefusedError(codes.REQUEST_MALFORMED, 'target')
        matched_route = active_configuration.find_route(
            caller_request.host, caller_request.path
        )
        if matched_route is None:
            raise errors.RefusedError(codes.ROUTE_UNKNOWN, caller_request.path)
        client_account = authenticate(
            active_configuration, matched_route, metadata
        )
        service = self.pick_service(matched_route)
        timeout_seconds = matched_route.timeout_seconds
        if metadata.timeout_seconds is not None:
            timeout_seconds = min(timeout_seconds, metadata.timeout_seconds)
        return request_context.RequestContext(
            identifier=metadata.identifier,
            request=caller_request,
            route=matched_route,
            account=client_account,
            service=service,
            service_targets=self.directory.service_targets(service),
            cost_weights=choose_cost_weights(matched_route),
            deadline=caller_request.received_at + timeout_seconds,
            zones=self.directory.home_zones(matched_route, client_account),
            rank=active_configuration.priority_ranks[matched_route.priority],
        )

    def pick_service(self, matched_route: route.Route) -> str:
        """Choose a service at random by the weights of the route."""
        if len(matched_route.weighted_services) == 1:
            return matched_route.weighted_services[0].service
        weights = [option.weight for option in matched_route.weighted_services]
        return self.rng.choices(matched_route.weighted_services, weights)[
            0
        ].service

    def acquire_quota(self, context: request_context.RequestContext) -> None:
        """Take a request from the quota of its client account.

        Raises:
            RefusedError: If the quota is exhausted.
        """
        if context.account is None:
            return
        admission = self.quotas.admit(context.account.name, context.rank)
        self.decisions.log_decision(
            'admission',
            request=context.identifier,
            account=context.account.name,
            admitted=admission.is_admitted,
            tokens=round(admission.tokens, 1),
            share=round(admission.reachable_share, 2),
            configuration=self.directory.version,
            route=context.route.name,
            rank=context.rank,
            service=context.service,
        )
        if not admission.is_admitted:
            raise errors.RefusedError(
                codes.OVER_RATE,
                context.account.name,
                admission.wait_seconds,
            )


def choose_cost_weights(
    matched_route: route.Route,
) -> cost_weights.CostWeights:
    """Return the weights for the choice of a target for a route's requests."""
    failure = NON_IDEMPOTENT_FAILURE_COST
    if matched_route.is_idempotent:
        failure = IDEMPOTENT_FAILURE_COST
    return cost_weights.CostWeights(
        objective_seconds=matched_route.latency_objective_seconds,
        failure=failure,
        late=failure * LATE_COST_RATIO,
    )


def authenticate(
    active_configuration: configuration.Configuration,
    matched_route: route.Route,
    metadata: header_codec.RequestMetadata,
) -> account.Account | None:
    """Return the client account of a request; None if it needs none.

    Raises:
        RefusedError: If the key is missing, unknown or not the only one.
    """
    if len(metadata.keys) > 1:
        raise errors.RefusedError(codes.REQUEST_MALFORMED, 'several keys')
    key = metadata.keys[0] if metadata.keys else ''
    client_account = active_configuration.account_by_key.get(key)
    if (
        client_account is not None
        or matched_route.is_auth_exempt
        or not active_configuration.accounts
    ):
        return client_account
    if not key:
        raise errors.RefusedError(codes.KEY_MISSING)
    raise errors.RefusedError(codes.KEY_UNKNOWN)


def to_caller_answer(
    target_answer: http_message.ReceivedAnswer,
) -> answer.Answer:
    """Return a target's answer without its hop-by-hop headers."""
    values_by_name = {
        name.lower(): header_value
        for name, header_value in target_answer.headers
    }
    excluded = header_rules.hop_by_hop_names(values_by_name)
    forwarded = [
        header
        for header in target_answer.headers
        if header[0].lower() not in excluded
    ]
    return answer.Answer(
        target_answer.status,
        forwarded,
        typing.cast(bytes, target_answer.body),
        memory=target_answer.memory,
    )
