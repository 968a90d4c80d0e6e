"""Announcing this daemon and finding the others."""

import asyncio
import typing

from sapphirepaddle import errors
from sapphirepaddle.directory import member, platform_interface, source
from sapphirepaddle.peers import count_exchange
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs

REGISTER_RETRY_SECONDS: typing.Final = 1.0
"""Pause after the source did not take the entry."""
REFRESH_INTERVAL_SECONDS: typing.Final = 20.0
"""Pause between reviews of the list of daemons, which catch lost
introductions."""


class Membership:
    """Keeps this daemon listed and knows the others.

    Attributes:
        settings: Settings of the daemon.
        port: The platform.
        pooling: Introduces this daemon to the others.
        is_listed: Whether the own entry was in the list.
        logger: Log of the entry.
    """

    def __init__(
        self,
        settings: edge.EdgeSettings,
        port: platform_interface.PlatformInterface,
        pooled: count_exchange.CountExchange,
    ) -> None:
        """Start without an entry."""
        self.settings = settings
        self.platform = port
        self.count_exchange = pooled
        self.is_registered = False
        self.logger = logs.get_logger('membership')

    async def run(self) -> None:
        """Enter the list, then review it, for good."""
        self.count_exchange.introduction_exchange.request_introductions(
            [host for host in self.settings.seeds if host != self.local_host],
        )
        while not await self.register():
            await asyncio.sleep(REGISTER_RETRY_SECONDS)
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_SECONDS)
            self.count_exchange.fleet.forget_silent()
            await self.ensure_registered()

    async def ensure_registered(self) -> None:
        """Read the list, and write the own entry if it is not there."""
        if (
            await self.refresh_members(is_stale_allowed=True)
            and not self.is_registered
        ):
            await self.write_entry()

    @property
    def local_host(self) -> str:
        """Return the host of this daemon."""
        return self.count_exchange.fleet.local_member.host

    async def register(self) -> bool:
        """Have the own entry listed and read those of the others.

        After a restart the entry of before still holds: the others learn
        of the new start by its introduction.

        Returns:
            Whether the entry is listed and the list was read.
        """
        if (
            await self.refresh_members(is_stale_allowed=True)
            and self.is_registered
        ):
            return True
        return await self.write_entry() and await self.refresh_members(
            is_stale_allowed=False
        )

    async def write_entry(self) -> bool:
        """Write the own entry.

        Returns:
            Whether the source took it.
        """
        own = self.count_exchange.fleet.local_member
        entry = source.Entry(own.name, self.platform.encode_member(own))
        try:
            await self.platform.source.put(self.platform.member_kind, entry)
        except errors.SourceError as error:
            self.logger.warning('not listed', reason=error.detail)
            return False
        return True

    async def refresh_members(self, is_stale_allowed: bool) -> bool:
        """Read the list and greet the daemons that are new.

        Returns:
            Whether the list was read.
        """
        try:
            reading = await self.platform.source.list_all(
                self.platform.member_kind,
                is_stale_allowed,
            )
        except errors.SourceError as error:
            self.logger.warning('list not read', reason=error.detail)
            return False
        listed = [
            held
            for entry in reading.entries
            if (held := self.decode_entry(entry))
        ]
        own = self.count_exchange.fleet.local_member
        self.is_registered = any(
            (held.name, held.zone, held.host) == (own.name, own.zone, own.host)
            for held in listed
        )
        learnt = [
            held for held in listed if self.count_exchange.fleet.add(held)
        ]
        self.count_exchange.introduction_exchange.announce_to(learnt)
        return True

    def decode_entry(self, entry: source.Entry) -> member.Member | None:
        """Return the daemon that an entry names; None if it is malformed."""
        try:
            return self.platform.decode_member(entry.name, entry.content or {})
        except ValueError as error:
            self.logger.warning(
                'entry malformed',
                member=entry.name,
                reason=str(error),
            )
            return None

    async def deregister(self) -> None:
        """Take the own entry off the list."""
        try:
            await self.platform.source.delete(
                self.platform.member_kind,
                self.count_exchange.fleet.local_member.name,
            )
        except errors.SourceError as error:
            self.logger.warning('entry left behind', reason=error.detail)
