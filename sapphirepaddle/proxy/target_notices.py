"""What targets state about themselves in their answers."""

import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.proxy import header_codec, request_context
from sapphirepaddle.routing import candidate
from sapphirepaddle.telemetry import decisions

MAX_PAUSE_SECONDS: typing.Final = 300.0
"""Longest pause that a target is granted; a longer one is cut to this."""

OnLeaving = abc.Callable[[candidate.Candidate], None]


class TargetNotices:
    """Applies the notices of targets: leaving, warm-up and pauses.

    Attributes:
        on_leaving: Called with a target that was not known to leave.
        decisions: Log of decisions.
    """

    def __init__(
        self, on_leaving: OnLeaving, decision_log: decisions.DecisionLog
    ) -> None:
        """Initialize with the callback and the log."""
        self.on_leaving = on_leaving
        self.decisions = decision_log

    def apply(
        self,
        context: request_context.RequestContext,
        target: candidate.Candidate,
        metadata: header_codec.AnswerMetadata,
    ) -> None:
        """Apply the notices in the answer of a target.

        An answer that states that the request was misdirected comes from
        another target and is ignored.
        """
        if metadata.is_misdirected:
            return
        now = clock.monotonic()
        if metadata.malformed_headers:
            self.decisions.log_decision(
                'notice ignored',
                request=context.identifier,
                target=target.registration.name,
                headers=metadata.malformed_headers,
            )
        if metadata.is_leaving and context.service_targets.record_leaving(
            target, now
        ):
            self.decisions.log_decision(
                'leaving',
                request=context.identifier,
                target=target.registration.name,
                service=target.registration.service,
                said_by='answer',
            )
            self.on_leaving(target)
        if metadata.warmup_seconds is not None:
            target.record_warmup(metadata.warmup_seconds, now)
        if metadata.pause_seconds:
            self.apply_pause(context, target, metadata.pause_seconds, now)

    def apply_pause(
        self,
        context: request_context.RequestContext,
        target: candidate.Candidate,
        stated_seconds: float,
        now: float,
    ) -> None:
        """Stop using a target for as long as it stated, within the limit."""
        seconds = min(stated_seconds, MAX_PAUSE_SECONDS)
        target.record_pause(seconds, now)
        self.decisions.log_decision(
            'pause',
            request=context.identifier,
            target=target.registration.name,
            service=target.registration.service,
            seconds=seconds,
            is_cut=stated_seconds > seconds,
        )
