"""Implementation of the platform interface."""

from sapphirepaddle.directory import (
    configuration as configurations,
)
from sapphirepaddle.directory import (
    member,
    platform_interface,
    registration,
    source,
)
from sapphirepaddle.platform import (
    configuration,
    header_codec,
    names,
    object_source,
    registrations,
)
from sapphirepaddle.proxy import http_client
from sapphirepaddle.settings import edge


class PlatformAdapter(platform_interface.PlatformInterface):
    """Access to the users' platform."""

    ready_path = names.READY_PATH
    metrics_path = names.METRICS_PATH
    configuration_kind = names.CONFIGURATION_KIND
    configuration_name = names.CONFIGURATION_NAME
    target_kind = names.TARGET_KIND
    member_kind = names.MEMBER_KIND
    emptied_zone_kind = names.EMPTIED_ZONE_KIND

    def __init__(self, store_address: edge.Address) -> None:
        """Create the client of the platform's object store."""
        client = http_client.HttpClient(store_address.host, store_address.port)
        self.source = object_source.ObjectSource(client)
        self.header_codec = header_codec.PlatformHeaderCodec()

    def decode_configuration(
        self,
        content: source.Content,
    ) -> configurations.Configuration:
        """Decode a configuration.

        Raises:
            ConfigurationError: If it is malformed.
        """
        return configuration.decode(content)

    def decode_target(
        self,
        name: str,
        content: source.Content,
    ) -> registration.Registration:
        """Decode the registration of a target.

        Raises:
            EntryError: If it is malformed.
        """
        return registrations.decode_target(name, content)

    def decode_member(
        self,
        name: str,
        content: source.Content,
    ) -> member.Member:
        """Decode the member entry of a daemon.

        Raises:
            EntryError: If it is malformed.
        """
        return registrations.decode_member(name, content)

    def encode_member(self, fleet_member: member.Member) -> source.Content:
        """Encode the member entry of a daemon."""
        return registrations.encode_member(fleet_member)
