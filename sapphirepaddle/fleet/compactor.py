"""Periodic snapshots of the configuration in the object store."""

import asyncio
import typing

from sapphirepaddle import errors
from sapphirepaddle.gateway import active_configuration
from sapphirepaddle.peers import members
from sapphirepaddle.store import object_store, snapshots
from sapphirepaddle.telemetry import logs

CHECK_SECONDS: typing.Final = 30
ROLE: typing.Final = 'compact'


class Compactor:
    """Writes a snapshot when the change log has grown.

    Only the daemon that holds the role writes it. If two daemons write at
    the same time, the conditional update of the head lets one of them fail.

    Attributes:
        snapshot_changes: Changes after which a snapshot is written.
        current: The active configuration.
        store: Object store of the platform.
        members: The VMs of the fleet.
        snapshot_revision: Revision of the newest snapshot known to this
            daemon.
        logger: Log of snapshots.
    """

    def __init__(
        self,
        snapshot_changes: int,
        current: active_configuration.ActiveConfiguration,
        store: object_store.ObjectStore,
        fleet_members: members.Members,
    ) -> None:
        """Initialize a compactor that knows of no snapshot."""
        self.snapshot_changes = snapshot_changes
        self.current = current
        self.store = store
        self.members = fleet_members
        self.snapshot_revision = 0
        self.logger = logs.get_logger('compactor')

    async def run(self) -> None:
        """Write a snapshot whenever one is due; runs until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if self.is_due():
                await self.compact()

    def is_due(self) -> bool:
        """Return whether this daemon should write a snapshot now."""
        has_grown = (
            self.current.revision - self.snapshot_revision
            >= self.snapshot_changes
        )
        return (
            has_grown
            and self.members.role_holder(ROLE) == self.members.local_vm
        )

    async def compact(self) -> None:
        """Write a snapshot if it is due; log a failure of the platform."""
        try:
            await self.write()
        except errors.PlatformError as error:
            self.logger.info('snapshot not written', detail=str(error))

    async def write(self) -> None:
        """Write a snapshot if enough changes followed the newest one.

        Raises:
            PlatformError: If the platform does not answer or another daemon
                updated the head first.
        """
        stored_head = await snapshots.read_head(self.store)
        self.snapshot_revision = snapshots.decode_head(stored_head).revision
        if (
            self.current.revision - self.snapshot_revision
            < self.snapshot_changes
        ):
            return
        new_head = await snapshots.write(self.store, self.current.configuration)
        self.snapshot_revision = new_head.revision
        self.logger.info('snapshot written', revision=new_head.revision)
