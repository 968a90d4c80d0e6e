"""Plans: what an intent changes, for confirmation."""

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
    """An object that a plan rests on.

    Attributes:
        kind: Its kind.
        name: Its name.
        digest: Digest of its fields; empty if it does not exist.
    """

    kind: str
    name: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """A plan.

    Attributes:
        identifier: Identifies the plan and the change it becomes.
        intent: Name of the intent.
        fields: Fields of the intent.
        actor: Name of the operator.
        reason: Why, in the operator's words.
        at: Unix time of the plan in seconds.
        revision: Configuration that the plan rests on.
        basis: Objects that the plan rests on.
        puts: Objects to create or replace.
        deletes: Objects to delete.
        leaving: VMs asked to stop.
        withdrawn: Digests of keys that stop at once.
        floors: Effects on floors.
        quotas: Effects on quotas.
        warnings: What the operator should know.
        overrides_floor: Whether the operator accepts a broken floor.
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
        """Return the change that the plan becomes."""
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
        """Tell whether the plan changes the configuration."""
        return bool(self.puts or self.deletes)


ADAPTER: typing.Final = pydantic.TypeAdapter(Plan)


def sign(body: bytes, secret: str) -> str:
    """Return the signature of an encoded plan."""
    return hmac.new(secret.encode(), body, hashlib.sha256).hexdigest()


def verify_and_decode(
    body: bytes,
    signature: str,
    secrets: typing.Sequence[str],
) -> Plan:
    """Read a plan that some daemon made.

    Args:
        body: The encoded plan.
        signature: Its signature.
        secrets: Secrets shared by the daemons.

    Raises:
        OperatorError: If it cannot be read or no daemon signed it.
    """
    good = any(
        hmac.compare_digest(sign(body, secret), signature) for secret in secrets
    )
    if not good:
        raise errors.OperatorError(codes.PLAN_UNREADABLE, 'signature')
    try:
        return ADAPTER.validate_json(body)
    except pydantic.ValidationError as error:
        raise errors.OperatorError(codes.PLAN_UNREADABLE) from error


def object_digest(held: typing.Any) -> str:
    """Return the digest of an object's fields; empty for none."""
    if held is None:
        return ''
    body = orjson.dumps(held, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(body).hexdigest()
