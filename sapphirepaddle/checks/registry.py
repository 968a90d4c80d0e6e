"""Registry of the checks of a configuration."""

import dataclasses
import importlib
import pkgutil
import typing
from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, rules, subject

Match = tuple[str, str]
"""Place of a finding in the file, and its text."""
FindMatches = abc.Callable[[subject.CheckedConfiguration], abc.Iterable[Match]]


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """One check.

    Attributes:
        code: Result code of its findings.
        severity: Severity of its findings.
        find_matches: Yields place and text of each finding.
    """

    code: codes.ResultCode
    severity: finding.Severity
    find_matches: FindMatches


CHECKS: typing.Final[dict[int, Check]] = {}  # noqa: WPS407


def register(
    code: codes.ResultCode, severity: finding.Severity
) -> abc.Callable[[FindMatches], FindMatches]:
    """Return a decorator that registers a check.

    Args:
        code: Result code of its findings.
        severity: Severity of its findings.
    """

    def decorate(find_matches: FindMatches) -> FindMatches:  # noqa: WPS430
        CHECKS[code.number] = Check(code, severity, find_matches)
        return find_matches

    return decorate


def run(
    checked: subject.CheckedConfiguration,
) -> list[finding.Finding]:
    """Return the errors of reading and the findings of all checks."""
    for module in pkgutil.iter_modules(rules.__path__, f'{rules.__name__}.'):
        importlib.import_module(module.name)
    found = list(checked.errors)
    for _, check in sorted(CHECKS.items()):
        found.extend(
            finding.Finding(check.code, check.severity, place, text)
            for place, text in check.find_matches(checked)
        )
    return found


def new_findings(
    before: subject.CheckedConfiguration, after: subject.CheckedConfiguration
) -> list[finding.Finding]:
    """Return the findings in a configuration that were not there before."""
    known = {(found.code.number, found.text) for found in run(before)}
    return [
        found
        for found in run(after)
        if (found.code.number, found.text) not in known
    ]
