"""Intents that operators can request."""

import dataclasses
import typing

import pydantic

from sapphirepaddle.objects import change, client_account, key, kinds
from sapphirepaddle.operators import intent

ZONE_KIND: typing.Final = 'availability_zone'
TARGET_KIND: typing.Final = 'target'
KEY_KIND: typing.Final = 'key'
ACCOUNT_KIND: typing.Final = 'client_account'
parse = intent.parse
FORBID_EXTRA_FIELDS: typing.Final = pydantic.ConfigDict(extra='forbid')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneIntent(intent.Intent):
    """Changes the state of an availability zone.

    Attributes:
        zone: Name of the zone.
        state: The new state.
    """

    __pydantic_config__ = FORBID_EXTRA_FIELDS

    zone: str
    state: typing.ClassVar[str]

    def draft(self, current: intent.Configuration) -> intent.Draft:
        """Return a put of the zone with the new state."""
        current_zone = intent.find_object(current, ZONE_KIND, self.zone)
        return intent.Draft(
            [intent.put_with_fields(ZONE_KIND, current_zone, state=self.state)]
        )


@intent.register('empty-zone')
class EmptyZone(ZoneIntent):
    """Stop new requests to the targets of an availability zone."""

    state = 'emptied'


@intent.register('refill-zone')
class RefillZone(ZoneIntent):
    """Resume requests to the targets of an availability zone."""

    state = 'active'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetIntent(intent.Intent):
    """Changes the state of a target.

    Attributes:
        target: Name of the target.
        state: The new state.
    """

    __pydantic_config__ = FORBID_EXTRA_FIELDS

    target: str
    state: typing.ClassVar[str]

    def draft(self, current: intent.Configuration) -> intent.Draft:
        """Return a put of the target with the new state."""
        current_target = intent.find_object(current, TARGET_KIND, self.target)
        return intent.Draft(
            [
                intent.put_with_fields(
                    TARGET_KIND, current_target, state=self.state
                )
            ]
        )


@intent.register('drain-target')
class DrainTarget(TargetIntent):
    """Stop new requests to a target."""

    state = 'draining'


@intent.register('return-target')
class ReturnTarget(TargetIntent):
    """Resume requests to a drained target."""

    state = 'active'


@intent.register('give-key')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GiveKey(intent.Intent):
    """Add a key to a client account.

    Attributes:
        account: Name of the client account.
        digest: SHA-256 digest of the key in hexadecimal.
    """

    __pydantic_config__ = FORBID_EXTRA_FIELDS

    account: str
    digest: typing.Annotated[str, pydantic.Field(pattern=key.DIGEST_PATTERN)]

    def draft(self, current: intent.Configuration) -> intent.Draft:
        """Return a put of the new key."""
        intent.find_object(current, ACCOUNT_KIND, self.account)
        body = {'name': self.digest, 'account': self.account}
        return intent.Draft([change.Put(kind=KEY_KIND, body=body)])


@intent.register('withdraw-key')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawKey(intent.Intent):
    """Withdraw a key permanently.

    Attributes:
        digest: SHA-256 digest of the key in hexadecimal.
    """

    __pydantic_config__ = FORBID_EXTRA_FIELDS

    digest: typing.Annotated[str, pydantic.Field(pattern=key.DIGEST_PATTERN)]

    def draft(self, current: intent.Configuration) -> intent.Draft:
        """Return a put of the withdrawn key; peers also get it by gossip."""
        current_key = intent.find_object(current, KEY_KIND, self.digest)
        return intent.Draft(
            [intent.put_with_fields(KEY_KIND, current_key, withdrawn=True)],
            withdrawn=[self.digest],
        )


@intent.register('set-account')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetAccount(intent.Intent):
    """Create a client account or change its quota and weight.

    A new account has a rate and a burst of 1 unless they are given.

    Attributes:
        account: Name of the client account.
        rate: Requests per second; None leaves it unchanged.
        burst: Burst in requests; None leaves it unchanged.
        weight: Relative share of an overloaded service; None leaves it
            unchanged.
    """

    __pydantic_config__ = FORBID_EXTRA_FIELDS

    account: kinds.Name
    rate: float | None = None
    burst: float | None = None
    weight: float | None = None

    def draft(self, current: intent.Configuration) -> intent.Draft:
        """Return a put of the account with the given fields replaced."""
        account = current.accounts.get(self.account)
        if account is None:
            account = client_account.ClientAccount(
                name=self.account,
                rate=1,
                burst=1,
            )
        all_fields = {
            'rate': self.rate,
            'burst': self.burst,
            'weight': self.weight,
        }
        fields = {
            name: value
            for name, value in all_fields.items()
            if value is not None
        }
        return intent.Draft(
            [intent.put_with_fields(ACCOUNT_KIND, account, **fields)]
        )


@intent.register('put-object')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PutObject(intent.Intent):
    """Create or replace configuration objects.

    Attributes:
        objects: Puts of the objects.
    """

    __pydantic_config__ = FORBID_EXTRA_FIELDS

    objects: tuple[change.Put, ...]

    def draft(self, current: intent.Configuration) -> intent.Draft:
        """Return the puts unchanged."""
        return intent.Draft(list(self.objects))


@intent.register('delete-object')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeleteObject(intent.Intent):
    """Delete a configuration object.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
    """

    __pydantic_config__ = FORBID_EXTRA_FIELDS

    kind: str
    name: str

    def draft(self, current: intent.Configuration) -> intent.Draft:
        """Return the deletion of the object."""
        intent.find_object(current, self.kind, self.name)
        return intent.Draft(
            deletes=[change.Delete(kind=self.kind, name=self.name)],
        )


@intent.register('stop-vm')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopVm(intent.Intent):
    """Ask the daemon of a VM to stop after its running requests.

    Attributes:
        vm: Name of the VM.
    """

    __pydantic_config__ = FORBID_EXTRA_FIELDS

    vm: str

    def draft(self, current: intent.Configuration) -> intent.Draft:
        """Return a draft that only asks the VM to leave."""
        return intent.Draft(leaving=[self.vm])
