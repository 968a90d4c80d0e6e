"""A caller's request while it is served."""

import dataclasses

from sapphirepaddle import clock
from sapphirepaddle.directory import account, route
from sapphirepaddle.proxy import http_message, attempt_result, request
from sapphirepaddle.routing import cost_weights, service_targets


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestContext:
    """One request with what was decided about it.

    Attributes:
        identifier: Identifier of the request.
        request: The request.
        route: Its route.
        account: Its client account; None if it came without a key.
        service: Name of its service.
        roster: Targets of the service.
        cost_weights: What matters in the choice of a target.
        end: When the caller gets its final answer at the latest.
        sent_to: Targets that it was sent to or could not reach.
        sends: How often it was sent.
        connecting: Attempts that have not sent it yet, and may.
        may_have_run: Whether a target may have run it.
        failed: A target's own failure, passed on if nothing is better.
    """

    identifier: str
    request: request.Request
    route: route.Route
    account: account.Account | None
    service: str
    service_targets: service_targets.ServiceTargets
    cost_weights: cost_weights.CostWeights
    deadline: float
    tried_targets: set[str] = dataclasses.field(default_factory=set)
    send_count: int = 0
    connecting: int = 0
    may_have_run: bool = False
    failure_answer: http_message.ReceivedAnswer | None = None

    @property
    def remaining_seconds(self) -> float:
        """Return the seconds until the final answer is due."""
        return self.deadline - clock.monotonic()

    @property
    def is_attempt_limit_reached(self) -> bool:
        """Tell whether its attempts use up what the route allows."""
        return self.send_count + self.connecting >= self.route.attempts

    @property
    def account_name(self) -> str:
        """Return the name of the client account; empty for none."""
        return self.account.name if self.account else ''

    def record_result(self, seen: attempt_result.AttemptResult) -> None:
        """Take in the end of an attempt."""
        if seen.kind is attempt_result.AttemptResultKind.NOT_RUN:
            return
        self.may_have_run = True
        if seen.kind is attempt_result.AttemptResultKind.FAILED:
            self.failure_answer = seen.answer
