"""Interface of the header codec: request and answer metadata in headers."""

import abc
import dataclasses

Header = tuple[bytes, bytes]
Headers = list[Header]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata in the head of a caller's request.

    Attributes:
        identifier: Identifier of the request; empty if there is none.
        timeout_seconds: Seconds that the caller waits; None if not stated.
        keys: API keys in the head; more than one is malformed.
    """

    identifier: str
    timeout_seconds: float | None
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardMetadata:
    """Metadata added to a request that is forwarded to a target.

    Attributes:
        target: Name of the target that is addressed.
        remaining_seconds: Seconds until the deadline of the request.
        account: Client account of the request; empty for none.
    """

    target: str
    remaining_seconds: float
    account: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """Metadata in the head of a target's answer.

    Attributes:
        identifier: Identifier of the answered request.
        has_response_stamp: Whether a header proves that a target answered.
        is_not_run: Whether it states that the request did not run and will
            not.
        is_misdirected: Whether it has the status with which a target answers
            requests that expect another one.
        responder: Name of the target that answered; empty if not stated.
        is_encoded: Whether the body has a content encoding, which no request
            asks for.
        idle_seconds: Keep-alive time of the target's idle connections; None if
            not stated.
        is_leaving: Whether the target states that it is shutting down.
        pause_seconds: Time for which the target wants no requests of this
            daemon; None if not stated.
        warmup_seconds: Time for which the target states that it stays cold;
            None if not stated.
        malformed_headers: Names of headers that were ignored as malformed.
    """

    identifier: str
    has_response_stamp: bool
    is_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    idle_seconds: float | None
    responder: str = ''
    is_leaving: bool = False
    pause_seconds: float | None = None
    warmup_seconds: float | None = None
    malformed_headers: tuple[str, ...] = ()


class HeaderCodec(abc.ABC):
    """Reads and writes the headers of callers and targets."""

    @abc.abstractmethod
    def read_request(self, headers: Headers) -> RequestMetadata:
        """Return the metadata of a caller's request."""

    @abc.abstractmethod
    def write_request(
        self, headers: Headers, metadata: ForwardMetadata
    ) -> Headers:
        """Return the headers for a target.

        API keys and metadata that callers may not set are left out.
        """

    @abc.abstractmethod
    def read_answer(self, status: int, headers: Headers) -> AnswerMetadata:
        """Return the metadata of a target's answer."""

    @abc.abstractmethod
    def write_refusal(self, identifier: str, retry_after: float) -> Headers:
        """Return the headers of a refusal.

        Args:
            identifier: Identifier of the request; empty for none.
            retry_after: Seconds until a retry may succeed; 0 for unknown.
        """
