"""What a daemon needs of the platform that it runs on; the contract."""

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
    """The platform in the product's own terms.

    Attributes:
        source: Objects of the platform.
        dialect: Names of headers towards callers and targets.
        ready_path: Path at which the balancer asks for readiness.
        metrics_path: Path at which metrics are served.
        configuration_kind: Kind of the configuration object.
        configuration_name: Its name.
        target_kind: Kind of the targets' registrations.
        member_kind: Kind of the daemons' entries.
    """

    source: Source
    header_codec: header_codec.HeaderCodec
    ready_path: str
    metrics_path: str
    configuration_kind: str
    configuration_name: str
    target_kind: str
    member_kind: str

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
        """Decode the entry of a daemon.

        Raises:
            ValueError: If it describes none.
        """

    @abc.abstractmethod
    def encode_member(self, held: member.Member) -> Content:
        """Return the entry of a daemon."""
