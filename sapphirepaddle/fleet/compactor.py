"""Writing snapshots of the configuration now and then."""

import asyncio
import typing

from sapphirepaddle import errors
from sapphirepaddle.gateway import active_configuration
from sapphirepaddle.peers import members
from sapphirepaddle.store import snapshots, object_store
from sapphirepaddle.telemetry import logs

LOOK_SECONDS: typing.Final = 30
ROLE: typing.Final = 'compact'


class Compactor:
    """Writes a snapshot when the log has grown; one daemon does it.

    Two that do it at once meet in the conditional update of the head.

    Attributes:
        every: Changes after which a snapshot is written.
        current: The configuration in force.
        store: The platform.
        known: The VMs of the fleet.
        written: Revision of the last snapshot known here.
        logger: Log of snapshots.
    """

    def __init__(
        self,
        every: int,
        current: active_configuration.ActiveConfiguration,
        objects: object_store.ObjectStore,
        known: members.Members,
    ) -> None:
        """Store the parts."""
        self.snapshot_changes = every
        self.current = current
        self.store = objects
        self.members = known
        self.snapshot_revision = 0
        self.logger = logs.get_logger('compactor')

    async def run(self) -> None:
        """Look again and again whether a snapshot is due."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            if self.is_due():
                await self.compact()

    def is_due(self) -> bool:
        """Tell whether this daemon should write a snapshot now."""
        grown = (
            self.current.revision - self.snapshot_revision
            >= self.snapshot_changes
        )
        return grown and self.members.role_holder(ROLE) == self.members.local_vm

    async def compact(self) -> None:
        """Write a snapshot, unless another daemon just did."""
        try:
            await self.write()
        except errors.PlatformError as error:
            self.logger.info('no snapshot', detail=str(error))

    async def write(self) -> None:
        """Write a snapshot if the newest one is old enough.

        Raises:
            PlatformError: If the platform is silent or another daemon was
                first.
        """
        held = await snapshots.read_head(self.store)
        self.snapshot_revision = snapshots.decode_head(held).revision
        if (
            self.current.revision - self.snapshot_revision
            < self.snapshot_changes
        ):
            return
        head = await snapshots.write(self.store, self.current.configuration)
        self.snapshot_revision = head.revision
        self.logger.info('snapshot', revision=head.revision)
