"""Announcing this daemon and finding the others."""

import asyncio
import typing

from sapphirepaddle import errors
from sapphirepaddle.directory import member, platform_port, source
from sapphirepaddle.peers import count_exchange
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs

RETRY_SECONDS: typing.Final = 1.0
"""Pause after the source did not take the entry."""
REVIEW_SECONDS: typing.Final = 20.0
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
        settings: edge.Edge,
        port: platform_port.PlatformPort,
        pooled: count_exchange.CountExchange,
    ) -> None:
        """Start without an entry."""
        self.settings = settings
        self.port = port
        self.pooling = pooled
        self.is_listed = False
        self.logger = logs.get('membership')

    async def run(self) -> None:
        """Enter the list, then review it, for good."""
        self.pooling.introduction_exchange.request_introductions(
            [host for host in self.settings.seeds if host != self.own_host],
        )
        while not await self.enter():
            await asyncio.sleep(RETRY_SECONDS)
        while True:
            await asyncio.sleep(REVIEW_SECONDS)
            self.pooling.fleet.forget_silent()
            await self.review_entry()

    async def review_entry(self) -> None:
        """Read the list, and write the own entry if it is not there."""
        if await self.review(is_stale_allowed=True) and not self.is_listed:
            await self.write()

    @property
    def own_host(self) -> str:
        """Return the host of this daemon."""
        return self.pooling.fleet.local_member.host

    async def enter(self) -> bool:
        """Have the own entry listed and read those of the others.

        After a restart the entry of before still holds: the others learn
        of the new start by its introduction.

        Returns:
            Whether the entry is listed and the list was read.
        """
        if await self.review(is_stale_allowed=True) and self.is_listed:
            return True
        return await self.write() and await self.review(is_stale_allowed=False)

    async def write(self) -> bool:
        """Write the own entry.

        Returns:
            Whether the source took it.
        """
        own = self.pooling.fleet.local_member
        entry = source.Entry(own.name, self.port.encode_member(own))
        try:
            await self.port.source.put(self.port.member_kind, entry)
        except errors.SourceError as error:
            self.logger.warning('not listed', reason=error.detail)
            return False
        return True

    async def review(self, is_stale_allowed: bool) -> bool:
        """Read the list and greet the daemons that are new.

        Returns:
            Whether the list was read.
        """
        try:
            reading = await self.port.source.list_all(
                self.port.member_kind,
                is_stale_allowed,
            )
        except errors.SourceError as error:
            self.logger.warning('list not read', reason=error.detail)
            return False
        listed = [
            held for entry in reading.entries if (held := self.decode(entry))
        ]
        own = self.pooling.fleet.local_member
        self.is_listed = any(
            (held.name, held.zone, held.host) == (own.name, own.zone, own.host)
            for held in listed
        )
        learnt = [held for held in listed if self.pooling.fleet.add(held)]
        self.pooling.introduction_exchange.announce_to(learnt)
        return True

    def decode(self, entry: source.Entry) -> member.Member | None:
        """Return the daemon that an entry names; None if it is malformed."""
        try:
            return self.port.decode_member(entry.name, entry.content or {})
        except ValueError as error:
            self.logger.warning(
                'entry malformed',
                member=entry.name,
                reason=str(error),
            )
            return None

    async def leave(self) -> None:
        """Take the own entry off the list."""
        try:
            await self.port.source.delete(
                self.port.member_kind,
                self.pooling.fleet.local_member.name,
            )
        except errors.SourceError as error:
            self.logger.warning('entry left behind', reason=error.detail)
