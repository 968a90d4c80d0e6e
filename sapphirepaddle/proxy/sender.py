"""Running one request at targets: choice, repeats, the end."""

import asyncio
import typing
from collections import abc

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.proxy import attempt, job, message, outcome
from sapphirepaddle.routing import candidate
from sapphirepaddle.telemetry import decisions

HEDGE_USUAL: typing.Final = 3.0
"""Usual answer times after which a silent target is given company."""
HEDGE_OBJECTIVE: typing.Final = 0.75
"""Part of the objective before which that does not happen."""
RETRY_AFTER_SECONDS: typing.Final = 0.5
"""Hint to callers when no target took a request; evidence and loads are
new by then."""

LATE_SECONDS: typing.Final = 0.05
"""Time before the end within which a target gives up for lack of time."""

Fate = outcome.Fate
AllowRepeat = abc.Callable[[str], bool]
NoteStart = abc.Callable[[candidate.Candidate], None]
NoteEnd = abc.Callable[[candidate.Candidate, bool], None]


class Sender:
    """Runs requests at targets.

    Attributes:
        attempts: Sends to one target.
        allow_repeat: Takes a repeat from the budget of a service.
        note_start: Called when a request was sent to a target.
        note_end: Called when it ended, with whether that speaks for a
            fault.
        decisions: Log of decisions.
    """

    def __init__(
        self,
        attempts: attempt.Attempts,
        allow_repeat: AllowRepeat,
        note_start: NoteStart,
        note_end: NoteEnd,
        log: decisions.DecisionLog,
    ) -> None:
        """Store the parts."""
        self.attempts = attempts
        self.allow_repeat = allow_repeat
        self.note_start = note_start
        self.note_end = note_end
        self.decisions = log

    async def run(self, wanted: job.Job) -> message.Received:
        """Run a request until a target answers it.

        Returns:
            The answer to pass on, which may be a target's own failure.

        Raises:
            RefusedError: If there is none; its code tells the truth about
                whether the request may have run.
        """
        running: set[asyncio.Task[outcome.Outcome]] = set()
        try:
            return await self.race(wanted, running)
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    async def race(
        self,
        wanted: job.Job,
        running: set[asyncio.Task[outcome.Outcome]],
    ) -> message.Received:
        """Start attempts until one is answered.

        Args:
            wanted: The request.
            running: Filled with the attempts that run.
        """
        running.add(self.start(wanted))
        while running:
            done, _ = await asyncio.wait(
                running,
                timeout=self.patience(wanted, running),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                running.remove(task)
                seen = task.result()
                wanted.note(seen)
                if seen.fate is Fate.ANSWERED and seen.received is not None:
                    return seen.received
            if self.may_repeat(wanted, is_hedge=bool(running)):
                running.add(self.start(wanted))
            elif not done:
                await asyncio.wait(running)
        return conclude(wanted)

    def patience(
        self,
        wanted: job.Job,
        running: abc.Collection[typing.Any],
    ) -> float | None:
        """Return the wait for an attempt before another is started."""
        if not wanted.route.is_idempotent or len(running) > 1:
            return None
        if wanted.is_last_attempt:
            return None
        return max(
            wanted.roster.typical_seconds * HEDGE_USUAL,
            wanted.route.objective * HEDGE_OBJECTIVE,
        )

    def may_repeat(self, wanted: job.Job, is_hedge: bool) -> bool:
        """Tell whether a request may be sent once more."""
        if wanted.may_have_run or is_hedge:
            legal = wanted.route.is_idempotent
        else:
            legal = True
        if not legal or wanted.left <= 0:
            return False
        if wanted.is_last_attempt:
            return False
        if not wanted.roster.has_alternative(wanted.sent_to):
            return False
        allowed = self.allow_repeat(wanted.service)
        self.decisions.note(
            'repeat',
            request=wanted.identifier,
            service=wanted.service,
            allowed=allowed,
            hedge=is_hedge,
            sends=wanted.sends,
            left=round(wanted.left, 3),
        )
        return allowed

    def start(self, wanted: job.Job) -> asyncio.Task[outcome.Outcome]:
        """Start an attempt, which counts from now on."""
        wanted.connecting += 1
        return asyncio.create_task(self.attempt(wanted))

    async def attempt(self, wanted: job.Job) -> outcome.Outcome:
        """Choose a target that can be reached and send the request there."""
        try:
            reached = await self.reach(wanted)
        finally:
            wanted.connecting -= 1
        if isinstance(reached, outcome.Outcome):
            return reached
        return await self.send(wanted, *reached)

    async def reach(
        self,
        wanted: job.Job,
    ) -> tuple[candidate.Candidate, typing.Any] | outcome.Outcome:
        """Return a target and a connection, or why there is none."""
        while wanted.left > 0:
            now = clock.monotonic()
            chosen = wanted.roster.choose(
                wanted.sent_to,
                wanted.preference,
                now,
            )
            if chosen is None:
                return outcome.Outcome(Fate.NOT_RUN, 'no target')
            wanted.sent_to.add(chosen.registration.name)
            self.note_choice(wanted, chosen, now)
            try:
                used = await self.attempts.connect(wanted, chosen)
            except errors.TargetError as error:
                self.note_unreachable(wanted, chosen, error)
                continue
            return chosen, used
        return outcome.Outcome(Fate.NOT_RUN, 'time is over')

    async def send(
        self,
        wanted: job.Job,
        chosen: candidate.Candidate,
        used: typing.Any,
    ) -> outcome.Outcome:
        """Send the request to the chosen target and take in the result."""
        wanted.sends += 1
        started = clock.monotonic()
        chosen.local_outstanding += 1
        chosen.record_request(started)
        self.note_start(chosen)
        is_bad = False
        try:
            seen = await self.attempts.send(wanted, chosen, used)
            is_bad = self.take_in(wanted, chosen, seen, started)
        except asyncio.CancelledError:
            self.note_cut(wanted, chosen, started)
            raise
        finally:
            chosen.local_outstanding -= 1
            self.note_end(chosen, is_bad)
        return seen

    def take_in(
        self,
        wanted: job.Job,
        chosen: candidate.Candidate,
        seen: outcome.Outcome,
        started: float,
    ) -> bool:
        """Take the end of an attempt as evidence.

        A refusal speaks for a fault only if the target had room. A target's
        own word that the time is over says nothing: the request may just
        be long.

        Returns:
            Whether it speaks for a fault of the target.
        """
        now = clock.monotonic()
        seconds = now - started
        has_room = chosen.outstanding(now) <= chosen.registration.slots
        is_bad = seen.fate is Fate.LOST or (
            seen.fate is Fate.FAILED and wanted.left > LATE_SECONDS
        )
        if seen.fate is Fate.NOT_RUN:
            is_bad = has_room
        if is_bad or seen.fate is Fate.ANSWERED:
            chosen.record_answer(not is_bad, now)
        if seen.fate is Fate.ANSWERED:
            wanted.roster.record_latency(seconds)
        self.decisions.note(
            'attempt',
            request=wanted.identifier,
            target=chosen.registration.name,
            fate=seen.fate.value,
            reason=seen.reason,
            seconds=round(seconds, 3),
            suspicion=round(chosen.target_estimator.fault_probability(now), 2),
        )
        return is_bad

    def note_choice(
        self,
        wanted: job.Job,
        chosen: candidate.Candidate,
        now: float,
    ) -> None:
        """Log which target was chosen and on what evidence."""
        self.decisions.note(
            'choice',
            request=wanted.identifier,
            target=chosen.registration.name,
            zone=chosen.registration.zone,
            suspicion=round(chosen.target_estimator.fault_probability(now), 2),
            path=round(chosen.path_failure_probability(now), 2),
            evidence_age=round(
                min(now - chosen.target_estimator.updated, NEVER), 2
            ),
            outstanding=chosen.outstanding(now),
            overdue=round(wanted.roster.overdue_seconds(chosen, now), 2),
            candidates=len(wanted.roster.candidates),
        )

    def note_cut(
        self,
        wanted: job.Job,
        chosen: candidate.Candidate,
        started: float,
    ) -> None:
        """Log that a send was cut: another answered or the caller left."""
        self.decisions.note(
            'cut',
            request=wanted.identifier,
            target=chosen.registration.name,
            seconds=round(clock.monotonic() - started, 3),
        )

    def note_unreachable(
        self,
        wanted: job.Job,
        chosen: candidate.Candidate,
        error: errors.TargetError,
    ) -> None:
        """Take in that a target could not be reached."""
        chosen.record_path_fault(clock.monotonic())
        self.decisions.note(
            'unreachable',
            request=wanted.identifier,
            target=chosen.registration.name,
            reason=error.detail,
        )


def conclude(wanted: job.Job) -> message.Received:
    """Return the best that is left when no target answered.

    Raises:
        RefusedError: If there is nothing to pass on.
    """
    if wanted.failed is not None:
        return wanted.failed
    if not wanted.may_have_run:
        raise errors.RefusedError(
            codes.NO_TARGET,
            wanted.service,
            RETRY_AFTER_SECONDS,
        )
    if wanted.left <= 0:
        raise errors.RefusedError(codes.ANSWER_TIMEOUT, wanted.service)
    raise errors.RefusedError(codes.ANSWER_BROKEN, wanted.service)


NEVER: typing.Final = 999.0
"""Age that logs show for evidence that does not exist, in seconds."""
