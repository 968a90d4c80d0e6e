"""Requests, arrivals and disturbances recorded during a run."""

import dataclasses
import itertools
import typing

NOT_RUN_STATUSES: typing.Final = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(slots=True)
class SentRequest:
    """One request of a caller.

    Attributes:
        identifier: Request identifier.
        kind: Kind of request, the first segment of its path.
        path: Path and query.
        account: Client account of the key.
        key: API key.
        daemon: Name of the daemon it was sent to.
        sent_at: When it was sent, in seconds on the monotonic clock.
        ended_at: When it was answered or failed; 0 if neither was recorded.
        status: HTTP status of the answer; 0 if there was no answer.
        body: Body of the answer.
        answer_identifier: Request identifier in the answer.
        is_stamped: Whether the answer carried a response stamp.
        is_whole: Whether the answer was complete.
        sent_again_at: When the caller sent it again after a refusal, each
            time.
    """

    identifier: str
    kind: str
    path: str
    account: str
    key: str
    daemon: str
    sent_at: float
    ended_at: float = 0
    status: int = 0
    body: bytes = b''
    answer_identifier: str = ''
    is_stamped: bool = False
    is_whole: bool = False
    sent_again_at: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request that arrived at a target.

    Attributes:
        identifier: Request identifier.
        target: Name of the target.
        service: Service of the target.
        path: Path and query.
        account: Client account that the headers named.
        has_key: Whether the request still carried the caller's key.
        at: When it arrived, in seconds on the monotonic clock.
        is_executed: Whether the target executed it instead of rejecting it.
        is_failed: Whether the target was to fail it or to lose its answer.
        zone: Availability zone of the target.
    """

    identifier: str
    target: str
    service: str
    path: str
    account: str
    has_key: bool
    at: float
    is_executed: bool
    is_failed: bool
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What a target stated about itself in an answer.

    Attributes:
        identifier: Identifier of the answered request.
        target: Name of the target.
        at: When it answered, in seconds on the monotonic clock.
        pause_seconds: Time for which it wants no requests of the daemon; 0 if
            it stated that it leaves.
    """

    identifier: str
    target: str
    at: float
    pause_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """A period in which a fault or planned work affected a subject.

    Attributes:
        kind: Kind of fault or of planned work.
        subject: Name of the daemon or target, "store", or "life of" and a
            daemon for the end of its process.
        start: When it began, in seconds on the monotonic clock.
        end: When it ended.
    """

    kind: str
    subject: str
    start: float
    end: float


@dataclasses.dataclass(slots=True)
class Observations:
    """Everything recorded during a run.

    Attributes:
        requests: Requests of callers by identifier.
        arrivals: Arrivals at targets.
        statements: What targets stated about themselves.
        disturbances: Faults and planned work.
        acked_changes: Time, kind and subject of each change that the store
            acknowledged.
        cold_periods: Name of a target, start and end of each period in which
            it is cold.
        emptied_periods: Name of an availability zone, acknowledgement of the
            entry that empties it, and time at which it was taken back.
    """

    requests: dict[str, SentRequest] = dataclasses.field(default_factory=dict)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    statements: list[Statement] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    acked_changes: list[tuple[float, str, str]] = dataclasses.field(
        default_factory=list,
    )
    cold_periods: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list,
    )
    emptied_periods: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list,
    )

    def arrivals_by_request(self) -> dict[str, list[Arrival]]:
        """Return the arrivals of each request by its identifier."""
        arrivals = sorted(self.arrivals, key=lambda arrival: arrival.identifier)
        return {
            identifier: list(group)
            for identifier, group in itertools.groupby(
                arrivals,
                key=lambda arrival: arrival.identifier,
            )
        }

    def is_undisturbed(
        self,
        start: float,
        end: float,
        subjects: typing.Container[str],
    ) -> bool:
        """Return whether no disturbance of the subjects overlaps a period."""
        return not any(
            disturbance.start <= end and disturbance.end >= start
            for disturbance in self.disturbances
            if disturbance.subject in subjects
        )
