"""How callers and targets mark requests and answers; the contract."""

import abc
import dataclasses

Header = tuple[bytes, bytes]
Headers = list[Header]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the head of a caller's request says beyond HTTP.

    Attributes:
        identifier: Identifier of the request; empty if there is none.
        deadline: Seconds that the caller waits; None if not stated.
        keys: Keys in the head; more than one is malformed.
    """

    identifier: str
    timeout_seconds: float | None
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardMetadata:
    """What a target is told with a request.

    Attributes:
        target: Name of the target that is meant.
        deadline: Seconds that are left.
        account: Client account of the request; empty for none.
    """

    target: str
    remaining_seconds: float
    account: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """What the head of a target's answer says beyond HTTP.

    Attributes:
        identifier: Identifier of the answered request.
        is_stamped: Whether the answer proves that a target made it.
        is_not_run: Whether the request did not run and will not.
        is_misdirected: Whether another target has the address now.
        is_encoded: Whether the body has an encoding nobody asked for.
        idle_seconds: How long the target keeps an idle connection.
    """

    identifier: str
    has_response_stamp: bool
    is_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    idle_seconds: float | None


class HeaderCodec(abc.ABC):
    """Names of headers towards callers and targets."""

    @abc.abstractmethod
    def read_request(self, headers: Headers) -> RequestMetadata:
        """Return the marks of a caller's request."""

    @abc.abstractmethod
    def write_request(
        self, headers: Headers, marks: ForwardMetadata
    ) -> Headers:
        """Return the headers for a target.

        Keys and marks that callers may not set are left out.
        """

    @abc.abstractmethod
    def read_answer(self, status: int, headers: Headers) -> AnswerMetadata:
        """Return the marks of a target's answer."""

    @abc.abstractmethod
    def write_refusal(self, identifier: str, retry_after: float) -> Headers:
        """Return the headers of a refusal.

        Args:
            identifier: Identifier of the request; empty for none.
            retry_after: Seconds until a repeat may succeed; 0 for unknown.
        """
