"""Plans: changes of an intent that an operator reviews and confirms."""

import dataclasses
import hashlib
import hmac
import typing

import orjson
import pydantic

from sapphirepaddle import codes, errors
from sapphirepaddle.objects import change
from sapphirepaddle.operators import effects


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Basis:
    """State of an object that a plan depends on, when it was created.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        digest: SHA-256 digest of its fields; empty if it did not exist.
    """

    kind: str
    name: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Changes of an intent with their effects, ready to confirm.

    Attributes:
        identifier: Identifies the plan and, as its token, the change log entry
            created from it.
        intent: Name of the intent.
        fields: Fields of the intent.
        actor: Name of the operator.
        reason: Reason given by the operator.
        at: Unix time in seconds at which the plan was created.
        revision: Configuration revision that the plan is based on.
        basis: Objects that must be unchanged at confirmation.
        puts: Objects to create or replace.
        deletes: Objects to delete.
        leaving: Names of VMs whose daemons are asked to stop.
        withdrawn: Digests of keys that daemons stop accepting as soon as gossip
            reaches them, before the change is accepted.
        floors: Effects on available slots.
        quotas: Effects on account quotas.
        warnings: Sentences about reduced services.
        overrides_floor: Whether a service may fall below its floor.
    """

    identifier: str
    intent: str
    fields: dict[str, typing.Any]
    actor: str
    reason: str
    at: float
    revision: int
    basis: tuple[Basis, ...]
    puts: tuple[change.Put, ...] = ()
    deletes: tuple[change.Delete, ...] = ()
    leaving: tuple[str, ...] = ()
    withdrawn: tuple[str, ...] = ()
    floors: tuple[effects.FloorEffect, ...] = ()
    quotas: tuple[effects.QuotaEffect, ...] = ()
    warnings: tuple[str, ...] = ()
    overrides_floor: bool = False

    def encode(self) -> bytes:
        """Return the plan as JSON with sorted keys."""
        return orjson.dumps(self, option=orjson.OPT_SORT_KEYS)

    def create_change(self, revision: int) -> change.Change:
        """Return the change log entry of the plan at a revision."""
        return change.Change(
            revision=revision,
            author=self.actor,
            reason=self.reason or self.intent,
            token=self.identifier,
            at=self.at,
            puts=self.puts,
            deletes=self.deletes,
        )

    @property
    def changes_configuration(self) -> bool:
        """Return whether the plan changes any configuration object."""
        return bool(self.puts or self.deletes)


ADAPTER: typing.Final = pydantic.TypeAdapter(Plan)


def sign(body: bytes, secret: str) -> str:
    """Return the HMAC-SHA256 of an encoded plan in hexadecimal."""
    return hmac.new(secret.encode(), body, hashlib.sha256).hexdigest()


def verify_and_decode(
    body: bytes,
    signature: str,
    secrets: typing.Sequence[str],
) -> Plan:
    """Verify and decode a plan created by any daemon of the fleet.

    Args:
        body: The encoded plan.
        signature: HMAC-SHA256 of the body in hexadecimal.
        secrets: Shared secrets; a signature by any of them is valid.

    Raises:
        OperatorError: If the signature is invalid or the body unreadable.
    """
    is_signed = any(
        hmac.compare_digest(sign(body, secret), signature) for secret in secrets
    )
    if not is_signed:
        raise errors.OperatorError(
            codes.PLAN_UNREADABLE, 'the signature is invalid'
        )
    try:
        return ADAPTER.validate_json(body)
    except pydantic.ValidationError as error:
        raise errors.OperatorError(codes.PLAN_UNREADABLE) from error


def object_digest(instance: typing.Any) -> str:
    """Return the SHA-256 digest of an object; empty for None."""
    if instance is None:
        return ''
    body = orjson.dumps(instance, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(body).hexdigest()
