"""Findings of the checks of a configuration."""

import dataclasses
import enum

from sapphirepaddle import codes


class Severity(enum.StrEnum):
    """How severe a finding is.

    Attributes:
        ERROR: The configuration is refused, or some of it can never work.
        WARNING: It works, but probably not as intended.
    """

    ERROR = 'error'
    WARNING = 'warning'


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One finding.

    Attributes:
        code: Result code of the check.
        severity: How severe it is.
        place: Place in the file, as a path of member names and positions.
        text: What is wrong, on one line.
    """

    code: codes.ResultCode
    severity: Severity
    place: str
    text: str

    @property
    def line(self) -> str:
        """The finding as one line."""
        return (
            f'{self.severity.value} {self.code.number} {self.place}: '
            f'{self.text}'
        )
