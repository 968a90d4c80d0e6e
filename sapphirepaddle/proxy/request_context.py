"""State of a caller's request while it is served."""

import dataclasses

from sapphirepaddle import clock
from sapphirepaddle.directory import account, route
from sapphirepaddle.proxy import attempt_result, http_message, request
from sapphirepaddle.routing import cost_weights, service_targets


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestContext:
    """One request with its route, deadline and attempts so far.

    Attributes:
        identifier: Identifier of the request.
        request: The request.
        route: Its route.
        account: Its client account; None if it came without a key.
        service: Name of its service.
        service_targets: Targets of the service.
        cost_weights: Weights for the choice of a target.
        zones: Availability zones whose targets may run it; None for all.
        rank: Rank by urgency among the routes, from 0 (most urgent) to 1.
        deadline: When the caller gets its final answer at the latest, on the
            monotonic clock.
        tried_targets: Names of the targets that it was sent to or that could
            not be reached.
        sent_targets: Names of the targets that it was sent to.
        send_count: How often it was sent.
        refusal_count: How often a target stated that it did not run and will
            not.
        resend_count: How often it was sent again after a pause.
        connecting_count: Attempts that still connect and may send it.
        failure_answer: A target's own failure, passed on if no target gives a
            better answer.
    """

    identifier: str
    request: request.Request
    route: route.Route
    account: account.Account | None
    service: str
    service_targets: service_targets.ServiceTargets
    cost_weights: cost_weights.CostWeights
    deadline: float
    zones: frozenset[str] | None = None
    rank: float = 0
    tried_targets: set[str] = dataclasses.field(default_factory=set)
    sent_targets: set[str] = dataclasses.field(default_factory=set)
    send_count: int = 0
    refusal_count: int = 0
    resend_count: int = 0
    connecting_count: int = 0
    failure_answer: http_message.ReceivedAnswer | None = None

    @property
    def remaining_seconds(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - clock.monotonic()

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run it, or may run it yet.

        Every sending counts as run unless its target stated otherwise, however
        the attempt ended.
        """
        return self.refusal_count < self.send_count

    @property
    def is_attempt_limit_reached(self) -> bool:
        """Return whether its attempts use up what the route allows."""
        return self.send_count + self.connecting_count >= self.route.attempts

    def prepare_resend(self) -> None:
        """Allow the targets to which the request may be sent once more.

        These are all targets, or those that it was already sent to if the
        route allows no more of them.
        """
        self.resend_count += 1
        self.tried_targets = set()
        if len(self.sent_targets) >= self.route.attempts:
            self.tried_targets = (
                self.service_targets.candidates.keys() - self.sent_targets
            )

    @property
    def account_name(self) -> str:
        """Return the name of the client account; empty for none."""
        return self.account.name if self.account else ''

    def record_failure(self, result: attempt_result.AttemptResult) -> None:
        """Keep the answer of a failed attempt."""
        if result.kind is attempt_result.AttemptResultKind.FAILED:
            self.failure_answer = result.answer
