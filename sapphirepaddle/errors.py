"""Exceptions of the package, each with a numbered result code."""

from sapphirepaddle import codes


class PaddleError(Exception):
    """Base class of the exceptions of the package.

    Attributes:
        code: The result code.
        detail: Description of the cause, without keys or tokens.
    """

    def __init__(self, code: codes.ResultCode, detail: str = '') -> None:
        """Initialize the error."""
        super().__init__(f'{code.number} {code.name}: {detail or code.text}')
        self.code = code
        self.detail = detail


class SettingsError(PaddleError):
    """A settings file is unreadable or invalid."""


class ConfigurationError(PaddleError):
    """A configuration change is invalid or is refused."""


class RevisionTakenError(ConfigurationError):
    """Another change was accepted with the expected revision."""

    def __init__(self, detail: str = '') -> None:
        """Initialize the error with its result code."""
        super().__init__(codes.REVISION_TAKEN, detail)


class RefusedError(PaddleError):
    """A caller's request was refused or its answer was lost.

    Attributes:
        retry_after: Seconds after which a retry may succeed; 0 if unknown.
    """

    def __init__(
        self,
        code: codes.ResultCode,
        detail: str = '',
        retry_after: float = 0,
    ) -> None:
        """Initialize the error."""
        super().__init__(code, detail)
        self.retry_after = retry_after


class PlatformError(PaddleError):
    """A call to the platform failed."""


class PlatformUnavailableError(PlatformError):
    """The platform did not answer; a write may have taken effect."""

    def __init__(self, detail: str = '') -> None:
        """Initialize the error with its result code."""
        super().__init__(codes.PLATFORM_UNAVAILABLE, detail)


class VersionConflictError(PlatformError):
    """A conditional update failed, as the stored version has changed."""

    def __init__(self, detail: str = '') -> None:
        """Initialize the error with its result code."""
        super().__init__(codes.VERSION_CONFLICT, detail)


class PeerError(PaddleError):
    """A peer connection failed."""


class OperatorError(PaddleError):
    """A call to the operators' API failed or was refused."""


class TraceError(PaddleError):
    """A trace cannot be replayed or its replay had different outcomes."""


class SourceError(PaddleError):
    """The source of configuration and targets did not answer a call."""

    def __init__(self, detail: str = '') -> None:
        """Initialize the error with its result code."""
        super().__init__(codes.PLATFORM_UNAVAILABLE, detail)


class HistoryLostError(SourceError):
    """The changes since a revision are gone; a full read is needed."""


class OutdatedAnswerError(SourceError):
    """An answer is of an older era of the source than one already known."""


class TargetError(PaddleError):
    """A target returned no complete answer to a request."""
