"""Execution of confirmed plans."""

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
    """Result of confirming a plan.

    Attributes:
        state: 'accepted'; 'spread' if the platform has not accepted the
            change and only peers were notified; or 'asked' if the plan
            changes no configuration.
        revision: Revision of the accepted change; 0 if there is none.
        text: Description of the result for the operator.
    """

    state: str
    revision: int
    text: str


class Confirmer:
    """Appends the changes of confirmed plans to the change log.

    Attributes:
        configuration_sync: Active configuration and its distribution.
        store: Object store of the platform.
        gossip: Distributes withdrawn keys and requests to leave.
        audit_log: Receives an entry for each confirmed plan.
        logger: Logs changes that are refused in the background.
    """

    def __init__(
        self,
        sync: configuration_sync.ConfigurationSync,
        store: object_store.ObjectStore,
        gossiper: gossip.Gossip,
        audit: audit_log.AuditLog,
    ) -> None:
        """Initialize a confirmer that accepts changes at this daemon."""
        self.configuration_sync = sync
        self.store = store
        self.gossip = gossiper
        self.audit_log = audit
        self.logger = logs.get_logger('operators')

    async def confirm(
        self, confirmed_plan: plan.Plan, actor: str
    ) -> Confirmation:
        """Carry out a plan.

        Confirming is idempotent: confirming the same plan again, also at
        another daemon, accepts no second change.

        Raises:
            OperatorError: If the plan is stale.
            ConfigurationError: If the change is no longer valid.
            PlatformUnavailableError: If the platform does not answer and the
                plan withdraws no key.
        """
        for digest in confirmed_plan.withdrawn:
            self.withdraw_key(digest, actor)
        for name in confirmed_plan.leaving:
            self.ask_to_leave(name, confirmed_plan, actor)
        if not confirmed_plan.changes_configuration:
            return Confirmation(
                state='asked',
                revision=0,
                text='The VM is asked to leave.',
            )
        try:
            revision = await self.accept(confirmed_plan)
        except errors.PlatformUnavailableError:
            return self.retry_in_background(confirmed_plan)
        self.record_accepted(confirmed_plan, actor, revision)
        return Confirmation(
            state='accepted',
            revision=revision,
            text=f'Accepted as revision {revision}.',
        )

    def retry_in_background(self, confirmed_plan: plan.Plan) -> Confirmation:
        """Retry a key withdrawal while the platform does not answer.

        Peers stop accepting a withdrawn key as soon as they receive the
        gossip, so that the operator gets a result before the change is
        accepted. Any other plan has no effect without the platform.

        Raises:
            PlatformUnavailableError: If the plan withdraws no key.
        """
        if not confirmed_plan.withdrawn:
            raise errors.PlatformUnavailableError(
                'the change may or may not be accepted; confirm the plan again',
            )
        self.gossip.mesh.spawn(self.retry_until_accepted(confirmed_plan))
        return Confirmation(
            state='spread',
            revision=0,
            text=(
                'The platform is silent. The key is stopped at every daemon '
                'in reach, and the change is offered again while this '
                'daemon lives. Confirm again once the platform answers.'
            ),
        )

    async def retry_until_accepted(self, confirmed_plan: plan.Plan) -> None:
        """Retry a change until the platform accepts or refuses it."""
        while True:
            try:
                revision = await self.accept(confirmed_plan)
            except errors.PlatformUnavailableError:
                await asyncio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            except errors.PaddleError as error:
                self.logger.error('change refused', detail=str(error))
                return
            self.record_accepted(confirmed_plan, confirmed_plan.actor, revision)
            return

    def record_accepted(
        self, confirmed_plan: plan.Plan, actor: str, revision: int
    ) -> None:
        """Add an accepted change to the audit log."""
        self.audit_log.add(
            confirmed_plan.intent,
            orjson.dumps(confirmed_plan.fields).decode(),
            actor=actor,
            before=f'revision {confirmed_plan.revision}',
            after=f'revision {revision}',
            reason=confirmed_plan.reason,
        )

    def withdraw_key(self, digest: str, actor: str) -> None:
        """Withdraw a key at every reachable daemon by gossip."""
        published = self.gossip.store.find(status.WITHDRAWN_TOPIC, digest)
        if published is None:
            self.gossip.publish(status.WITHDRAWN_TOPIC, digest, b'')
            self.audit_log.add('key-stopped', digest, actor=actor)

    def ask_to_leave(
        self, vm: str, confirmed_plan: plan.Plan, actor: str
    ) -> None:
        """Ask the daemon of a VM to stop.

        The gossip version is the time of the plan in milliseconds, so that
        confirming the plan again publishes the same version.
        """
        self.audit_log.add(
            'stop-vm', vm, actor=actor, reason=confirmed_plan.reason
        )
        version = int(confirmed_plan.at * MILLISECONDS_PER_SECOND)
        self.gossip.publish_version(LEAVE_TOPIC, vm, version, b'')

    async def accept(self, confirmed_plan: plan.Plan) -> int:
        """Append the change of a plan to the log and return its revision.

        Retries up to MAX_ACCEPT_ATTEMPTS times when another change takes
        the revision first. Returns the earlier revision if the plan was
        already accepted.

        Raises:
            OperatorError: If an object that the plan depends on has changed,
                the plan is older than the log, or every attempt lost its
                revision to another change.
            ConfigurationError: If the change is no longer valid.
            PlatformUnavailableError: If the platform does not answer.
        """
        for _ in range(MAX_ACCEPT_ATTEMPTS):
            current, accepted_revision = await self.read_newest(confirmed_plan)
            if accepted_revision:
                return accepted_revision
            check_basis(confirmed_plan, current)
            entry = confirmed_plan.create_change(current.revision + 1)
            references.check(current, entry)
            try:
                await change_log.append(self.store, entry)
            except errors.RevisionTakenError:
                continue
            self.configuration_sync.apply_change(entry.encode())
            return entry.revision
        raise errors.OperatorError(
            codes.PLAN_STALE,
            'other changes were accepted first at every attempt',
        )

    async def read_newest(
        self,
        confirmed_plan: plan.Plan,
    ) -> tuple[configuration.Configuration, int]:
        """Apply all changes since the plan from the platform.

        Returns:
            The newest configuration, and the revision at which the plan
            was already accepted; 0 if it was not.

        Raises:
            OperatorError: If the plan is older than the log.
            PlatformUnavailableError: If the platform does not answer.
        """
        start_revision = min(
            confirmed_plan.revision, self.configuration_sync.current.revision
        )
        entries = [
            change.decode(stored.body or b'')
            for stored in await change_log.load_changes(
                self.store, start_revision
            )
        ]
        check_log_complete(start_revision, entries)
        accepted_revisions = [
            entry.revision
            for entry in entries
            if entry.token == confirmed_plan.identifier
        ]
        for entry in entries:
            if entry.revision > self.configuration_sync.current.revision:
                self.configuration_sync.apply_change(entry.encode())
        return self.configuration_sync.current.configuration, max(
            accepted_revisions, default=0
        )


def check_log_complete(
    start_revision: int, entries: list[change.Change]
) -> None:
    """Check that the log still holds every change since the plan.

    If changes were compacted away, it is unknown whether the plan was
    already accepted.

    Args:
        start_revision: Revision after which the changes were read.
        entries: Changes read from the log, in order.

    Raises:
        OperatorError: If changes after the start revision are missing.
    """
    if entries and entries[0].revision > start_revision + 1:
        raise errors.OperatorError(
            codes.PLAN_STALE, 'the plan is older than the change log'
        )


def check_basis(
    confirmed_plan: plan.Plan,
    current: configuration.Configuration,
) -> None:
    """Check that the objects a plan depends on are unchanged.

    Raises:
        OperatorError: If an object has changed; the detail contains the
            current state of each such object.
    """
    changed = [
        f'{basis.kind} {basis.name} is now {describe_current(current, basis)}'
        for basis in confirmed_plan.basis
        if basis.digest != current_digest(current, basis)
    ]
    if changed:
        raise errors.OperatorError(codes.PLAN_STALE, '; '.join(changed))


def current_digest(
    current: configuration.Configuration,
    basis: plan.Basis,
) -> str:
    """Return the digest of the current state of an object."""
    return plan.object_digest(
        current.objects_of_kind(basis.kind).get(basis.name)
    )


def describe_current(
    current: configuration.Configuration,
    basis: plan.Basis,
) -> str:
    """Return the current state of an object as JSON, or `deleted`."""
    instance = current.objects_of_kind(basis.kind).get(basis.name)
    return 'deleted' if instance is None else orjson.dumps(instance).decode()
