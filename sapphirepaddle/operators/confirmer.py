"""Carrying out confirmed plans."""

import asyncio
import dataclasses
import typing

import orjson

from sapphirepaddle import codes, errors
from sapphirepaddle.audit import audit_log
from sapphirepaddle.fleet import configuration_sync, status
from sapphirepaddle.objects import change, configuration, references
from sapphirepaddle.operators import plan
from sapphirepaddle.peers import gossip
from sapphirepaddle.store import change_log, object_store
from sapphirepaddle.telemetry import logs

ACCEPT_RETRY_SECONDS: typing.Final = 1
MAX_ACCEPT_ATTEMPTS: typing.Final = 10
LEAVE_TOPIC: typing.Final = 'leave'
MILLISECONDS_PER_SECOND: typing.Final = 1000


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


class Confirmer:
    """Turns confirmed plans into accepted changes.

    Attributes:
        sync: Configuration in force and its spreading.
        store: The platform.
        gossip: Spreads withdrawn keys and requests to leave.
        audit: The audit trail.
        logger: Log of background work.
    """

    def __init__(
        self,
        sync: configuration_sync.ConfigurationSync,
        objects: object_store.ObjectStore,
        spread: gossip.Gossip,
        audit: audit_log.AuditLog,
    ) -> None:
        """Store the parts."""
        self.configuration_sync = sync
        self.store = objects
        self.gossip = spread
        self.audit_log = audit
        self.logger = logs.get_logger('operators')

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
            self.withdraw_key(digest, actor)
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
            return self.retry_in_background(agreed)
        self.record_accepted(agreed, actor, revision)
        return Confirmation(
            state='accepted',
            revision=revision,
            text=f'Accepted as revision {revision}.',
        )

    def retry_in_background(self, agreed: plan.Plan) -> Confirmation:
        """Say truthfully what holds while the platform is silent.

        Raises:
            PlatformUnavailableError: If nothing holds yet.
        """
        if not agreed.withdrawn:
            raise errors.PlatformUnavailableError(
                'the change may or may not be accepted; confirm again',
            )
        self.gossip.mesh.spawn(self.retry_until_accepted(agreed))
        return Confirmation(
            state='spread',
            revision=0,
            text=(
                'The platform is silent. The key is stopped at every daemon '
                'in reach, and the change is offered again while this '
                'daemon lives. Confirm again once the platform answers.'
            ),
        )

    async def retry_until_accepted(self, agreed: plan.Plan) -> None:
        """Offer a change again until the platform answers."""
        while True:
            try:
                revision = await self.accept(agreed)
            except errors.PlatformUnavailableError:
                await asyncio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            except errors.PaddleError as error:
                self.logger.error('change refused', detail=str(error))
                return
            self.record_accepted(agreed, agreed.actor, revision)
            return

    def record_accepted(
        self, agreed: plan.Plan, actor: str, revision: int
    ) -> None:
        """Add an accepted change to the audit trail."""
        self.audit_log.add(
            agreed.intent,
            orjson.dumps(agreed.fields).decode(),
            actor=actor,
            before=f'revision {agreed.revision}',
            after=f'revision {revision}',
            reason=agreed.reason,
        )

    def withdraw_key(self, digest: str, actor: str) -> None:
        """Stop a key at every daemon in reach."""
        known = self.gossip.store.find(status.WITHDRAWN_TOPIC, digest)
        if known is None:
            self.gossip.publish(status.WITHDRAWN_TOPIC, digest, b'')
            self.audit_log.add('key-stopped', digest, actor=actor)

    def ask_to_leave(self, name: str, agreed: plan.Plan, actor: str) -> None:
        """Ask the daemon of a VM to stop."""
        self.audit_log.add('stop-vm', name, actor=actor, reason=agreed.reason)
        version = int(agreed.at * MILLISECONDS_PER_SECOND)
        self.gossip.publish_version(LEAVE_TOPIC, name, version, b'')

    async def accept(self, agreed: plan.Plan) -> int:
        """Make the change of a plan accepted and return its revision.

        Raises:
            OperatorError: If an object that the plan rests on has changed,
                or the plan is older than the log.
            PlatformUnavailableError: If the platform is silent.
        """
        for _ in range(MAX_ACCEPT_ATTEMPTS):
            current, accepted = await self.read_newest(agreed)
            if accepted:
                return accepted
            check_basis(agreed, current)
            entry = agreed.create_change(current.revision + 1)
            references.check(current, entry)
            try:
                await change_log.append(self.store, entry)
            except errors.RevisionTakenError:
                continue
            self.configuration_sync.apply_change(entry.encode())
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
        start = min(agreed.revision, self.configuration_sync.current.revision)
        entries = [
            change.decode(held.body or b'')
            for held in await change_log.load_changes(self.store, start)
        ]
        check_log_complete(start, entries)
        accepted = [
            entry.revision
            for entry in entries
            if entry.token == agreed.identifier
        ]
        for entry in entries:
            if entry.revision > self.configuration_sync.current.revision:
                self.configuration_sync.apply_change(entry.encode())
        return self.configuration_sync.current.configuration, max(
            accepted, default=0
        )


def check_log_complete(start: int, entries: list[change.Change]) -> None:
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
        f'{basis.kind} {basis.name} is now {describe_current(current, basis)}'
        for basis in agreed.basis
        if basis.digest != current_digest(current, basis)
    ]
    if changed:
        raise errors.OperatorError(codes.PLAN_STALE, '; '.join(changed))


def current_digest(
    current: configuration.Configuration,
    basis: plan.Basis,
) -> str:
    """Return the digest of an object as it is now."""
    return plan.object_digest(
        current.objects_of_kind(basis.kind).get(basis.name)
    )


def describe_current(
    current: configuration.Configuration,
    basis: plan.Basis,
) -> str:
    """Return an object as it is now, for people."""
    held = current.objects_of_kind(basis.kind).get(basis.name)
    return 'deleted' if held is None else orjson.dumps(held).decode()
