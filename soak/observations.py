"""What callers and targets saw during a run."""

import dataclasses
import itertools
import typing

NOT_RUN_STATUSES: typing.Final = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(slots=True)
class SentRequest:
    """One request of a caller.

    Attributes:
        identifier: Its identifier.
        kind: Kind of request, the first part of its path.
        path: Its path.
        account: Client account whose key it carried; empty for none.
        key: The key.
        daemon: Name of the daemon it was sent to.
        sent_at: When it was sent.
        ended_at: When its answer or the end of its connection came.
        status: Status of the answer; 0 if the connection ended without.
        body: Body of the answer.
        answered: Identifier in the answer.
        is_stamped: Whether the answer was stamped.
        is_whole: Whether the answer was complete.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request that arrived at a target.

    Attributes:
        identifier: Its identifier.
        target: Name of the target.
        service: Service of the target.
        path: Its path.
        account: Client account that the target was told.
        has_key: Whether the key was passed on.
        at: When it arrived.
        is_run: Whether the target ran it, and did not reject it.
        is_failed: Whether the target failed it or lost its answer.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """A time in which something was disturbed.

    Attributes:
        what: Kind of fault.
        subject: Daemon, target or store.
        start: When it began.
        end: When it ended.
    """

    kind: str
    subject: str
    start: float
    end: float


@dataclasses.dataclass(slots=True)
class Observations:
    """All of a run.

    Attributes:
        sent: Requests of callers.
        runs: Arrivals at targets.
        spans: Faults and planned work.
        acks: Acknowledged changes: time, kind and subject.
    """

    requests: dict[str, SentRequest] = dataclasses.field(default_factory=dict)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    acked_changes: list[tuple[float, str, str]] = dataclasses.field(
        default_factory=list,
    )

    def arrivals_by_request(self) -> dict[str, list[Arrival]]:
        """Return the arrivals of each request."""
        ordered = sorted(self.arrivals, key=lambda run: run.identifier)
        return {
            name: list(group)
            for name, group in itertools.groupby(
                ordered,
                key=lambda run: run.identifier,
            )
        }

    def is_undisturbed(
        self,
        start: float,
        end: float,
        subjects: typing.Container[str],
    ) -> bool:
        """Tell whether nothing disturbed some subjects in a time."""
        return not any(
            span.start <= end and span.end >= start
            for span in self.disturbances
            if span.subject in subjects
        )
