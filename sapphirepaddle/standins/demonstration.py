"""Start a complete deployment of stand-ins and daemons."""

import dataclasses
import pathlib
import typing

from sapphirepaddle import operators_client
from sapphirepaddle.cli import settings_check
from sapphirepaddle.objects import change
from sapphirepaddle.replay import environment
from sapphirepaddle.standins import fleet

ZONE: typing.Final = 'availability_zone'
ACCOUNT: typing.Final = 'client_account'
ROUTE: typing.Final = 'route'


@dataclasses.dataclass(slots=True)
class Demonstration:
    """A running deployment.

    Attributes:
        fleet: Processes of the deployment.
        keys: Secret key of each client account, by account name.
        puts: The active configuration, without the keys.
    """

    fleet: fleet.Fleet
    keys: dict[str, str]
    puts: list[change.Put]

    def replay_environment(self) -> environment.Environment:
        """Return the environment that a replay runs against."""
        return environment.Environment(
            callers=tuple(
                daemon.callers_url for daemon in self.fleet.daemons.values()
            ),
            operators=tuple(
                daemon.operators_url for daemon in self.fleet.daemons.values()
            ),
            operator_token=fleet.OPERATOR_TOKEN,
            platform=self.fleet.platform_url,
            targets=self.fleet.targets,
            accounts={
                put.name: environment.Account(
                    key=self.keys[put.name],
                    rate=put.body['rate'],
                    burst=put.body['burst'],
                )
                for put in self.puts
                if put.kind == ACCOUNT
            },
            orders=tuple(
                put.body['prefix']
                for put in self.puts
                if put.kind == ROUTE and not put.body.get('idempotent', True)
            ),
        )


def start(
    deployment_fleet: fleet.Fleet,
    objects: typing.Sequence[change.Put],
    daemons_per_zone: int,
    instance_settings: fleet.Json | None = None,
) -> Demonstration:
    """Start a deployment and wait until every daemon is ready.

    Args:
        deployment_fleet: Fleet without any running process.
        objects: Configuration without keys; one is made for each account.
        daemons_per_zone: Number of daemons in each availability zone.
        instance_settings: Settings of every target stand-in that differ from
            the defaults.

    Raises:
        TimeoutError: If a program does not answer or a daemon is not ready
            in time.
        ChildProcessError: If a program ended during the start.
    """
    deployment_fleet.start_platform()
    local_puts = deployment_fleet.start_targets(objects, instance_settings)
    keys_by_account = {
        put.name: operators_client.new_key()
        for put in objects
        if put.kind == ACCOUNT
    }
    key_puts = [
        change.Put(
            kind='key',
            body={'name': key.digest, 'account': name},
        )
        for name, key in keys_by_account.items()
    ]
    deployment_fleet.commit_change([*local_puts, *key_puts])
    zones = [put.name for put in objects if put.kind == ZONE]
    deployment_fleet.start_daemons(zones, daemons_per_zone)
    deployment_fleet.wait_ready()
    deployment_fleet.wait_quota_owners()
    secrets = {name: key.secret for name, key in keys_by_account.items()}
    return Demonstration(deployment_fleet, secrets, local_puts)


def read_sample(sample_folder: pathlib.Path) -> tuple[change.Put, ...]:
    """Read the configuration of a sample deployment.

    Raises:
        PaddleError: If the configuration file is malformed.
    """
    return settings_check.read_objects(sample_folder / 'configuration.jsonc')
