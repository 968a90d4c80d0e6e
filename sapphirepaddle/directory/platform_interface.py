"""Interface between a daemon and the platform that it runs on."""

import abc

from sapphirepaddle.directory import (
    configuration,
    member,
    registration,
    source,
)
from sapphirepaddle.proxy import header_codec

Source = source.Source
Content = source.Content


class PlatformInterface(abc.ABC):
    """Access to the platform, independent of its names and formats.

    Attributes:
        source: Object store of the platform.
        header_codec: Reads and writes the headers of callers and targets.
        ready_path: Path at which the load balancer probes readiness.
        metrics_path: Path at which metrics are served.
        configuration_kind: Kind of the configuration object.
        configuration_name: Name of the configuration object.
        target_kind: Kind of the targets' registrations.
        member_kind: Kind of the member entries of daemons.
        emptied_zone_kind: Kind of the entries that empty an availability
            zone; each has the name of its zone.
    """

    source: Source
    header_codec: header_codec.HeaderCodec
    ready_path: str
    metrics_path: str
    configuration_kind: str
    configuration_name: str
    target_kind: str
    member_kind: str
    emptied_zone_kind: str

    @abc.abstractmethod
    def decode_configuration(
        self,
        content: Content,
    ) -> configuration.Configuration:
        """Decode a configuration.

        Raises:
            ConfigurationError: If it is malformed.
        """

    @abc.abstractmethod
    def decode_target(
        self,
        name: str,
        content: Content,
    ) -> registration.Registration:
        """Decode the registration of a target.

        Raises:
            ValueError: If it describes no target.
        """

    @abc.abstractmethod
    def decode_member(
        self,
        name: str,
        content: Content,
    ) -> member.Member:
        """Decode the member entry of a daemon.

        Raises:
            ValueError: If it describes no daemon.
        """

    @abc.abstractmethod
    def encode_member(self, fleet_member: member.Member) -> Content:
        """Encode the member entry of a daemon."""
