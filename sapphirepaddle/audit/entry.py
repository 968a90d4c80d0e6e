"""Entries of the audit log."""

import dataclasses
import typing

import pydantic


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AuditEntry:
    """Record of one operator change or automatic decision.

    Attributes:
        at: Unix time in seconds.
        vm: Name of the VM that wrote the entry.
        number: Sequence number among the entries of one process.
        actor: Name of the operator, or of the VM that decided.
        action: Name of the action or decision.
        subject: Object that the action changed.
        before: Version or state before the action.
        after: Version or state after the action.
        reason: Reason of the action.
    """

    at: float
    vm: str
    number: int
    actor: str
    action: str
    subject: str
    before: str = ''
    after: str = ''
    reason: str = ''


LIST_ADAPTER: typing.Final = pydantic.TypeAdapter(list[AuditEntry])
