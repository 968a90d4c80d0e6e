"""Serving of callers' requests: who may, where to, and the answer."""

import random
import typing

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.directory import account, configuration, directory, route
from sapphirepaddle.gateway import answer
from sapphirepaddle.gateway import headers as header_rules
from sapphirepaddle.limits import account_quotas
from sapphirepaddle.proxy import (
    header_codec,
    handler,
    request_context,
    http_message,
    refusal,
    request,
    sender,
)
from sapphirepaddle.routing import cost_weights
from sapphirepaddle.telemetry import counters, logs

IDEMPOTENT_FAILURE_COST: typing.Final = 1.0
"""Cost of a failure that can be repeated elsewhere, in objectives."""
NON_IDEMPOTENT_FAILURE_COST: typing.Final = 5.0
"""Cost of a failure that is final, in objectives."""
STARTING_RETRY_SECONDS: typing.Final = 1.0
"""Hint to callers while no configuration is known."""
STOPPING_RETRY_SECONDS: typing.Final = 0.1
"""Hint to callers of a daemon that stops; others serve at once."""
SLASH: typing.Final = b'/'


class Forwarder(handler.Handler):
    """Answers callers with the answers of targets.

    Attributes:
        directory: Configuration and targets.
        dialect: Names of headers.
        quotas: Quota of the client accounts.
        sender: Runs requests at targets.
        counters: Totals for metrics.
        decisions: Log of decisions.
        chance: Source of randomness.
        serving: Requests being served.
        is_refusing: Whether the daemon stops so soon that it starts no
            request any more.
        logger: Log of failures of the daemon's own.
    """

    def __init__(
        self,
        known: directory.Directory,
        spoken: header_codec.HeaderCodec,
        limits: account_quotas.AccountQuotas,
        sending: sender.RetryingSender,
        totals: counters.Counters,
    ) -> None:
        """Store the parts."""
        self.directory = known
        self.header_codec = spoken
        self.quotas = limits
        self.sender = sending
        self.counters = totals
        self.decisions = sending.decisions
        self.rng = random.Random()
        self.active_requests = 0
        self.is_refusing = False
        self.logger = logs.get_logger('forwarder')

    async def handle(self, received: request.Request) -> answer.Answer:
        """Answer a request with a target's answer or a refusal."""
        marks = self.header_codec.read_request(received.headers)
        self.active_requests += 1
        try:
            given = await self.process(received, marks)
        except errors.RefusedError as error:
            given = self.render(error, marks.identifier)
        except Exception:
            self.logger.exception('internal error', request=marks.identifier)
            internal = errors.RefusedError(codes.INTERNAL)
            given = self.render(internal, marks.identifier)
        finally:
            self.active_requests -= 1
        seconds = clock.monotonic() - received.received_at
        self.counters.add('requests', str(given.status))
        self.counters.observe('request_seconds', seconds)
        self.decisions.log_decision(
            'answer',
            request=marks.identifier,
            status=given.status,
            seconds=round(seconds, 3),
        )
        return given

    def refuse(self, status: int, detail: str) -> answer.Answer:
        """Return the answer to what is no proper request."""
        code = refusal.CODE_BY_STATUS.get(status, codes.REQUEST_MALFORMED)
        self.decisions.log_decision('malformed', status=status, detail=detail)
        return refusal.render(errors.RefusedError(code, detail), [])

    def render(
        self,
        error: errors.RefusedError,
        identifier: str,
    ) -> answer.Answer:
        """Return the answer to a request that is refused."""
        self.decisions.log_decision(
            'refusal',
            request=identifier,
            code=error.code.name,
            detail=error.detail,
            retry_after=error.retry_after,
            configuration=self.directory.version,
        )
        marks = self.header_codec.write_refusal(identifier, error.retry_after)
        return refusal.render(error, marks)

    async def process(
        self,
        received: request.Request,
        marks: header_codec.RequestMetadata,
    ) -> answer.Answer:
        """Run a request.

        Raises:
            RefusedError: If it is refused or no target answers.
        """
        if self.is_refusing:
            raise errors.RefusedError(
                codes.STOPPING,
                retry_after=STOPPING_RETRY_SECONDS,
            )
        held = self.directory.configuration
        if held is None:
            raise errors.RefusedError(
                codes.NO_CONFIGURATION,
                retry_after=STARTING_RETRY_SECONDS,
            )
        wanted = self.build_context(received, marks, held)
        self.acquire_quota(wanted)
        self.directory.record_request(wanted.service)
        given = await self.sender.run(wanted)
        return to_caller_answer(given)

    def build_context(
        self,
        received: request.Request,
        marks: header_codec.RequestMetadata,
        held: configuration.Configuration,
    ) -> request_context.RequestContext:
        """Find route, client account, service and deadline of a request.

        Raises:
            RefusedError: If the configuration does not allow it.
        """
        if not received.target.startswith(SLASH):
            raise errors.RefusedError(codes.REQUEST_MALFORMED, 'target')
        found = held.find_route(received.host, received.path)
        if found is None:
            raise errors.RefusedError(codes.ROUTE_UNKNOWN, received.path)
        caller = authenticate(held, found, marks)
        service = self.pick_service(found)
        patience = found.timeout_seconds
        if marks.timeout_seconds is not None:
            patience = min(patience, marks.timeout_seconds)
        return request_context.RequestContext(
            identifier=marks.identifier,
            request=received,
            route=found,
            account=caller,
            service=service,
            service_targets=self.directory.service_targets(service),
            cost_weights=cost_weights.CostWeights(
                objective_seconds=found.latency_objective_seconds,
                failure=IDEMPOTENT_FAILURE_COST
                if found.is_idempotent
                else NON_IDEMPOTENT_FAILURE_COST,
            ),
            deadline=received.received_at + patience,
        )

    def pick_service(self, found: route.Route) -> str:
        """Draw the service of a request by the weights of its route."""
        if len(found.weighted_services) == 1:
            return found.weighted_services[0].service
        weights = [part.weight for part in found.weighted_services]
        return self.rng.choices(found.weighted_services, weights)[0].service

    def acquire_quota(self, wanted: request_context.RequestContext) -> None:
        """Take a request from the quota of its client account.

        Raises:
            RefusedError: If the quota is used up.
        """
        if wanted.account is None:
            return
        verdict = self.quotas.admit(wanted.account.name)
        self.decisions.log_decision(
            'admission',
            request=wanted.identifier,
            account=wanted.account.name,
            admitted=verdict.is_admitted,
            tokens=round(verdict.tokens, 1),
            share=round(verdict.reachable_share, 2),
            configuration=self.directory.version,
            route=wanted.route.name,
            service=wanted.service,
        )
        if not verdict.is_admitted:
            raise errors.RefusedError(
                codes.OVER_RATE,
                wanted.account.name,
                verdict.wait_seconds,
            )


def authenticate(
    held: configuration.Configuration,
    found: route.Route,
    marks: header_codec.RequestMetadata,
) -> account.Account | None:
    """Return the client account of a request; None if it needs none.

    Raises:
        RefusedError: If the key is missing, unknown or not the only one.
    """
    if len(marks.keys) > 1:
        raise errors.RefusedError(codes.REQUEST_MALFORMED, 'several keys')
    key = marks.keys[0] if marks.keys else ''
    caller = held.account_by_key.get(key)
    if caller is not None or found.is_auth_exempt or not held.accounts:
        return caller
    if not key:
        raise errors.RefusedError(codes.KEY_MISSING)
    raise errors.RefusedError(codes.KEY_UNKNOWN)


def to_caller_answer(given: http_message.ReceivedAnswer) -> answer.Answer:
    """Return a target's answer as its caller gets it."""
    index = {name.lower(): content for name, content in given.headers}
    hidden = header_rules.hop_by_hop_names(index)
    passed = [
        header for header in given.headers if header[0].lower() not in hidden
    ]
    return answer.Answer(given.status, passed, given.body)
