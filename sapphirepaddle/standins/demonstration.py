"""A whole deployment on stand-ins: platform, targets and daemons."""

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
        fleet: Its processes.
        keys: A key of each client account.
        puts: The configuration in force.
    """

    fleet: fleet.Fleet
    keys: dict[str, str]
    puts: list[change.Put]

    def replay_environment(self) -> environment.Environment:
        """Return what a replay runs against."""
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
    running: fleet.Fleet,
    objects: typing.Sequence[change.Put],
    each: int,
    instance: fleet.Json | None = None,
) -> Demonstration:
    """Start a deployment and wait until it serves.

    Args:
        running: A fleet of which nothing runs yet.
        objects: The configuration, without keys.
        each: Daemons in each availability zone.
        instance: Settings of the target stand-ins.

    Raises:
        TimeoutError: If it does not serve in time.
    """
    running.start_platform()
    placed = running.start_targets(objects, instance)
    made = {
        put.name: operators_client.new_key()
        for put in objects
        if put.kind == ACCOUNT
    }
    given = [
        change.Put(
            kind='key',
            body={'name': key.digest, 'account': name},
        )
        for name, key in made.items()
    ]
    running.commit_change([*placed, *given])
    zones = [put.name for put in objects if put.kind == ZONE]
    running.start_daemons(zones, each)
    running.wait_ready()
    running.wait_quota_owners()
    secrets = {name: key.secret for name, key in made.items()}
    return Demonstration(running, secrets, placed)


def read_sample(folder: pathlib.Path) -> tuple[change.Put, ...]:
    """Read the configuration of a sample deployment.

    Raises:
        PaddleError: If it is malformed.
    """
    return settings_check.read_objects(folder / 'configuration.jsonc')
