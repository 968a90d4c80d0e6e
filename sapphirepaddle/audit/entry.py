"""Entries of the audit trail."""

import dataclasses
import typing

import pydantic


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AuditEntry:
    """One change or automatic decision.

    Attributes:
        at: Unix time in seconds.
        vm: The VM that wrote it.
        number: Order among the entries of one process.
        actor: Name of the operator, or of the VM that decided.
        action: What was done.
        subject: What it was done to.
        before: Version or state before.
        after: Version or state after.
        reason: Why.
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
