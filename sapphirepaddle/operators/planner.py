"""Making and confirming plans."""

import asyncio
import dataclasses
import itertools
import secrets
import typing

import orjson

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.audit import trail
from sapphirepaddle.fleet import configuration_sync, status
from sapphirepaddle.objects import change, configuration, references
from sapphirepaddle.operators import effects, intent, intents, plan
from sapphirepaddle.peers import gossip
from sapphirepaddle.platform import change_log, store
from sapphirepaddle.routing import table, verdict
from sapphirepaddle.telemetry import logs

IDENTIFIER_BYTES: typing.Final = 12
INSIST_SECONDS: typing.Final = 1
CONFIRM_TRIES: typing.Final = 10
LEAVE_TOPIC: typing.Final = 'leave'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Confirmation:
    """What became of a confirmed plan.

    Attributes:
        state: 'accepted', 'spread' if only peers know it so far, or 'asked'
            if it changes no configuration.
        revision: Revision of the change; 0 if there is none.
        text: One sentence for the operator.
    """

    state: str
    revision: int
    text: str


class Planner:
    """Makes plans from intents, and changes from confirmed plans.

    Attributes:
        sync: Configuration in force and its spreading.
        store: The platform.
        gossip: Spreads withdrawn keys and requests to leave.
        table: Verdicts on targets.
        audit: The audit trail.
        logger: Log of background work.
    """

    def __init__(
        self,
        sync: configuration_sync.ConfigurationSync,
        objects: store.ObjectStore,
        spread: gossip.Gossip,
        services: table.RoutingTable,
        audit: trail.AuditTrail,
    ) -> None:
        """Store the parts."""
        self.sync = sync
        self.store = objects
        self.gossip = spread
        self.table = services
        self.audit = audit
        self.logger = logs.get('operators')

    def make(self, wanted: 'Wanted', actor: str) -> plan.Plan:
        """Make the plan of an intent.

        Raises:
            OperatorError: If the intent is wrong or would break a floor
                and the operator does not override it.
            ConfigurationError: If the change would be refused.
        """
        current = self.sync.current.configuration
        parsed = intents.parse(wanted.intent, wanted.fields)
        draft = parsed.draft(current)
        identifier = secrets.token_hex(IDENTIFIER_BYTES)
        bare = plan.Plan(
            identifier=identifier,
            intent=wanted.intent,
            fields=wanted.fields,
            actor=actor,
            reason=wanted.reason,
            at=clock.wall(),
            revision=current.revision,
            basis=tuple(self.basis(draft, current)),
            puts=tuple(draft.puts),
            deletes=tuple(draft.deletes),
            leaving=tuple(draft.leaving),
            withdrawn=tuple(draft.withdrawn),
            overrides_floor=wanted.overrides_floor,
        )
        if not bare.changes_configuration:
            return bare
        return self.with_effects(bare, current)

    def basis(
        self,
        draft: intent.Draft,
        current: configuration.Configuration,
    ) -> list[plan.Basis]:
        """Return the objects that a draft changes, as they are now."""
        touched = itertools.chain(
            ((put.kind, put.name) for put in draft.puts),
            ((removal.kind, removal.name) for removal in draft.deletes),
        )
        return [
            plan.Basis(
                kind=kind,
                name=name,
                digest=plan.digest_of(current.table(kind).get(name)),
            )
            for kind, name in touched
        ]

    def with_effects(
        self,
        bare: plan.Plan,
        current: configuration.Configuration,
    ) -> plan.Plan:
        """Return a plan with its effects and warnings.

        Raises:
            OperatorError: If it breaks a floor without an override.
            ConfigurationError: If the change would be refused.
        """
        entry = bare.change(current.revision + 1)
        references.check(current, entry)
        after = references.preview(current, entry)
        floors = effects.floor_effects(current, after, self.ejected())
        broken = [effect.service for effect in floors if effect.is_broken]
        if broken and not bare.overrides_floor:
            raise errors.OperatorError(
                codes.FLOOR_BROKEN,
                f'services {", ".join(broken)}',
            )
        return dataclasses.replace(
            bare,
            floors=tuple(floors),
            quotas=tuple(effects.quota_effects(current, after)),
            warnings=tuple(self.warnings(floors)),
        )

    def ejected(self) -> frozenset[str]:
        """Return the targets that the fleet ejected."""
        return frozenset(
            held.target
            for held in self.table.verdicts.values()
            if held.standing is verdict.Standing.EJECTED
        )

    def warnings(self, floors: list[effects.FloorEffect]) -> list[str]:
        """Return what an operator should know about the effects."""
        broken = [
            f'{effect.service} falls below its floor: {effect.after} of '
            f'{effect.slots} slots, floor {effect.floor:g}'
            for effect in floors
            if effect.is_broken
        ]
        smaller = [
            f'{effect.service} goes from {effect.before} to {effect.after} '
            'slots; the others get its work at once'
            for effect in floors
            if effect.after < effect.before and not effect.is_broken
        ]
        return broken + smaller

    async def confirm(self, agreed: plan.Plan, actor: str) -> Confirmation:
        """Carry out exactly a plan.

        Confirming the same plan again, also at another daemon, does
        nothing more.

        Raises:
            OperatorError: If an object that the plan rests on has changed.
            PlatformUnavailableError: If the platform is silent and nothing
                can be done now.
        """
        for digest in agreed.withdrawn:
            self.withdraw(digest, actor)
        for name in agreed.leaving:
            self.ask_to_leave(name, agreed, actor)
        if not agreed.changes_configuration:
            return Confirmation(
                state='asked',
                revision=0,
                text='The VM is asked to leave.',
            )
        try:
            revision = await self.accept(agreed)
        except errors.PlatformUnavailableError:
            return self.wait(agreed)
        self.note(agreed, actor, revision)
        return Confirmation(
            state='accepted',
            revision=revision,
            text=f'Accepted as revision {revision}.',
        )

    def wait(self, agreed: plan.Plan) -> Confirmation:
        """Say truthfully what holds while the platform is silent.

        Raises:
            PlatformUnavailableError: If nothing holds yet.
        """
        if not agreed.withdrawn:
            raise errors.PlatformUnavailableError(
                'the change may or may not be accepted; confirm again',
            )
        self.gossip.mesh.spawn(self.insist(agreed))
        return Confirmation(
            state='spread',
            revision=0,
            text=(
                'The platform is silent. The key is stopped at every daemon '
                'in reach, and the change is offered again while this '
                'daemon lives. Confirm again once the platform answers.'
            ),
        )

    async def insist(self, agreed: plan.Plan) -> None:
        """Offer a change again until the platform answers."""
        while True:
            try:
                revision = await self.accept(agreed)
            except errors.PlatformUnavailableError:
                await asyncio.sleep(INSIST_SECONDS)
                continue
            except errors.PaddleError as error:
                self.logger.error('change refused', detail=str(error))
                return
            self.note(agreed, agreed.actor, revision)
            return

    def note(self, agreed: plan.Plan, actor: str, revision: int) -> None:
        """Add an accepted change to the audit trail."""
        self.audit.add(
            agreed.intent,
            orjson.dumps(agreed.fields).decode(),
            actor=actor,
            before=f'revision {agreed.revision}',
            after=f'revision {revision}',
            reason=agreed.reason,
        )

    def withdraw(self, digest: str, actor: str) -> None:
        """Stop a key at every daemon in reach."""
        known = self.gossip.news.find(status.WITHDRAWN_TOPIC, digest)
        if known is None:
            self.gossip.publish(status.WITHDRAWN_TOPIC, digest, b'')
            self.audit.add('key-stopped', digest, actor=actor)

    def ask_to_leave(self, name: str, agreed: plan.Plan, actor: str) -> None:
        """Ask the daemon of a VM to stop."""
        self.audit.add('stop-vm', name, actor=actor, reason=agreed.reason)
        version = int(agreed.at * MILLISECONDS)
        self.gossip.publish_version(LEAVE_TOPIC, name, version, b'')

    async def accept(self, agreed: plan.Plan) -> int:
        """Make the change of a plan accepted and return its revision.

        Raises:
            OperatorError: If an object that the plan rests on has changed,
                or the plan is older than the log.
            PlatformUnavailableError: If the platform is silent.
        """
        for _ in range(CONFIRM_TRIES):
            current, accepted = await self.read_newest(agreed)
            if accepted:
                return accepted
            check_basis(agreed, current)
            entry = agreed.change(current.revision + 1)
            references.check(current, entry)
            try:
                await change_log.append(self.store, entry)
            except errors.RevisionTakenError:
                continue
            self.sync.apply(entry.encode())
            return entry.revision
        raise errors.OperatorError(codes.PLAN_STALE, 'too many other changes')

    async def read_newest(
        self,
        agreed: plan.Plan,
    ) -> tuple[configuration.Configuration, int]:
        """Read the newest configuration from the platform.

        Returns:
            The configuration, and the revision under which the plan was
            accepted before; 0 if it was not.

        Raises:
            PlatformUnavailableError: If the platform is silent.
        """
        start = min(agreed.revision, self.sync.current.revision)
        entries = [
            change.decode(held.body or b'')
            for held in await change_log.load(self.store, start)
        ]
        check_whole(start, entries)
        accepted = [
            entry.revision
            for entry in entries
            if entry.token == agreed.identifier
        ]
        for entry in entries:
            if entry.revision > self.sync.current.revision:
                self.sync.apply(entry.encode())
        return self.sync.current.configuration, max(accepted, default=0)


MILLISECONDS: typing.Final = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wanted:
    """What an operator asks for.

    Attributes:
        intent: Name of the intent.
        fields: Its fields.
        reason: Why, in the operator's words.
        overrides_floor: Whether a broken floor is accepted.
    """

    intent: str
    fields: dict[str, typing.Any]
    reason: str = ''
    overrides_floor: bool = False


def check_whole(start: int, entries: list[change.Change]) -> None:
    """Refuse a plan so old that changes since were deleted from the log.

    Whether it was accepted before could not be told.

    Raises:
        OperatorError: If so.
    """
    if entries and entries[0].revision > start + 1:
        raise errors.OperatorError(codes.PLAN_STALE, 'older than the log')


def check_basis(
    agreed: plan.Plan,
    current: configuration.Configuration,
) -> None:
    """Refuse a plan whose objects have changed since it was made.

    Raises:
        OperatorError: If one has; the detail shows which.
    """
    changed = [
        f'{basis.kind} {basis.name} is now {describe(current, basis)}'
        for basis in agreed.basis
        if basis.digest != digest_now(current, basis)
    ]
    if changed:
        raise errors.OperatorError(codes.PLAN_STALE, '; '.join(changed))


def digest_now(
    current: configuration.Configuration,
    basis: plan.Basis,
) -> str:
    """Return the digest of an object as it is now."""
    return plan.digest_of(current.table(basis.kind).get(basis.name))


def describe(
    current: configuration.Configuration,
    basis: plan.Basis,
) -> str:
    """Return an object as it is now, for people."""
    held = current.table(basis.kind).get(basis.name)
    return 'deleted' if held is None else orjson.dumps(held).decode()
