"""The intents."""

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
        """Return the change of the zone."""
        held = intent.find_object(current, ZONE_KIND, self.zone)
        return intent.Draft(
            [intent.put_with_fields(ZONE_KIND, held, state=self.state)]
        )


@intent.register('empty-zone')
class EmptyZone(ZoneIntent):
    """Give the targets of an availability zone no new work."""

    state = 'emptied'


@intent.register('refill-zone')
class RefillZone(ZoneIntent):
    """Give the targets of an availability zone work again."""

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
        """Return the change of the target."""
        held = intent.find_object(current, TARGET_KIND, self.target)
        return intent.Draft(
            [intent.put_with_fields(TARGET_KIND, held, state=self.state)]
        )


@intent.register('drain-target')
class DrainTarget(TargetIntent):
    """Give a target no new work."""

    state = 'draining'


@intent.register('return-target')
class ReturnTarget(TargetIntent):
    """Give a drained target work again."""

    state = 'active'


@intent.register('give-key')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GiveKey(intent.Intent):
    """Give a client account one more key.

    Attributes:
        account: Name of the client account.
        digest: SHA-256 digest of the key in hexadecimal.
    """

    __pydantic_config__ = FORBID_EXTRA_FIELDS

    account: str
    digest: typing.Annotated[str, pydantic.Field(pattern=key.DIGEST_PATTERN)]

    def draft(self, current: intent.Configuration) -> intent.Draft:
        """Return the new key."""
        intent.find_object(current, ACCOUNT_KIND, self.account)
        body = {'name': self.digest, 'account': self.account}
        return intent.Draft([change.Put(kind=KEY_KIND, body=body)])


@intent.register('withdraw-key')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawKey(intent.Intent):
    """Stop a key for good.

    Attributes:
        digest: SHA-256 digest of the key in hexadecimal.
    """

    __pydantic_config__ = FORBID_EXTRA_FIELDS

    digest: typing.Annotated[str, pydantic.Field(pattern=key.DIGEST_PATTERN)]

    def draft(self, current: intent.Configuration) -> intent.Draft:
        """Return the change of the key, which also spreads as news."""
        held = intent.find_object(current, KEY_KIND, self.digest)
        return intent.Draft(
            [intent.put_with_fields(KEY_KIND, held, withdrawn=True)],
            withdrawn=[self.digest],
        )


@intent.register('set-account')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetAccount(intent.Intent):
    """Create a client account or change its room.

    Attributes:
        account: Name of the client account.
        rate: Requests a second; unchanged if not given.
        burst: Requests at once; unchanged if not given.
        weight: Share of a scarce service; unchanged if not given.
    """

    __pydantic_config__ = FORBID_EXTRA_FIELDS

    account: kinds.Name
    rate: float | None = None
    burst: float | None = None
    weight: float | None = None

    def draft(self, current: intent.Configuration) -> intent.Draft:
        """Return the account with the given fields changed."""
        held = current.accounts.get(self.account)
        if held is None:
            held = client_account.ClientAccount(
                name=self.account,
                rate=1,
                burst=1,
            )
        given = {
            'rate': self.rate,
            'burst': self.burst,
            'weight': self.weight,
        }
        fields = {
            name: value for name, value in given.items() if value is not None
        }
        return intent.Draft(
            [intent.put_with_fields(ACCOUNT_KIND, held, **fields)]
        )


@intent.register('put-object')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PutObject(intent.Intent):
    """Create or replace configuration objects.

    Attributes:
        objects: The objects.
    """

    __pydantic_config__ = FORBID_EXTRA_FIELDS

    objects: tuple[change.Put, ...]

    def draft(self, current: intent.Configuration) -> intent.Draft:
        """Return the objects."""
        return intent.Draft(list(self.objects))


@intent.register('delete-object')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeleteObject(intent.Intent):
    """Delete a configuration object.

    Attributes:
        kind: Name of the kind.
        name: Name of the object.
    """

    __pydantic_config__ = FORBID_EXTRA_FIELDS

    kind: str
    name: str

    def draft(self, current: intent.Configuration) -> intent.Draft:
        """Return the deletion."""
        intent.find_object(current, self.kind, self.name)
        return intent.Draft(
            deletes=[change.Delete(kind=self.kind, name=self.name)],
        )


@intent.register('stop-vm')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopVm(intent.Intent):
    """Ask the daemon of a VM to stop without cutting off a request.

    Attributes:
        vm: Name of the VM.
    """

    __pydantic_config__ = FORBID_EXTRA_FIELDS

    vm: str

    def draft(self, current: intent.Configuration) -> intent.Draft:
        """Return the request to leave."""
        return intent.Draft(leaving=[self.vm])
