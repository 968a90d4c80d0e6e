"""Client of the operators' API, used by the command line."""

import asyncio
import dataclasses
import secrets
import typing
from collections import abc
from urllib import parse as urls

import orjson
import pydantic

from sapphirepaddle import codes, errors, pooled_connection
from sapphirepaddle.audit import entry
from sapphirepaddle.objects import key
from sapphirepaddle.operators import api, confirmer, plan, planner, report
from sapphirepaddle.store import remote

KEY_BYTES: typing.Final = 24
CALL_TIMEOUT_SECONDS: typing.Final = 60
FLEET_REPORT_ADAPTER: typing.Final = pydantic.TypeAdapter(report.FleetReport)
ROLLOUT_STATUS_ADAPTER: typing.Final = pydantic.TypeAdapter(api.RolloutStatus)
CONFIRMATION_ADAPTER: typing.Final = pydantic.TypeAdapter(
    confirmer.Confirmation
)
HTTP_OK: typing.Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedPlan:
    """A plan that a daemon created.

    Attributes:
        plan: The decoded plan.
        signed: The encoded plan with its signature, sent back to confirm.
    """

    plan: plan.Plan
    signed: api.SignedPlan


class OperatorsClient:
    """Calls the operators' API of the first daemon that answers.

    Attributes:
        addresses: Base URLs of daemons, tried in order.
        token: The operator's token.
        http_client: The HTTP client.
    """

    def __init__(self, addresses: abc.Sequence[str], token: str) -> None:
        """Initialize a client that has no connection yet."""
        self.addresses = addresses
        self.token = token
        self.http_client = pooled_connection.create_client()

    async def make_plan(
        self, plan_request: planner.PlanRequest
    ) -> ReceivedPlan:
        """Return the plan for the change that an operator requests.

        Raises:
            OperatorError: If the request is refused or no daemon answers.
        """
        response_body = await self.call(
            'POST', '/plans', orjson.dumps(plan_request)
        )
        signed = api.SIGNED_PLAN_ADAPTER.validate_json(response_body)
        return ReceivedPlan(plan.ADAPTER.validate_json(signed.body), signed)

    async def confirm(
        self, received_plan: ReceivedPlan
    ) -> confirmer.Confirmation:
        """Confirm a plan, which the daemon then carries out unchanged.

        Raises:
            OperatorError: If the plan is refused or no daemon answers.
        """
        body = orjson.dumps(received_plan.signed)
        response_body = await self.call('POST', '/plans/confirm', body)
        return CONFIRMATION_ADAPTER.validate_json(response_body)

    async def wait_for_rollout(
        self, revision: int, wait_seconds: float
    ) -> api.RolloutStatus:
        """Wait for a revision and return which daemons apply it.

        Args:
            revision: The revision to wait for.
            wait_seconds: Maximum time to wait.

        Raises:
            OperatorError: If no daemon answers.
        """
        path = f'/changes/{revision}?wait={wait_seconds}'
        return ROLLOUT_STATUS_ADAPTER.validate_json(
            await self.call('GET', path)
        )

    async def status(self) -> report.FleetReport:
        """Return the state of the fleet.

        Raises:
            OperatorError: If no daemon answers.
        """
        return FLEET_REPORT_ADAPTER.validate_json(
            await self.call('GET', '/status')
        )

    async def objects(self) -> dict[str, typing.Any]:
        """Return all configuration objects in force, as a file has them.

        Raises:
            OperatorError: If no daemon answers.
        """
        return orjson.loads(await self.call('GET', '/objects'))

    async def audit(self, since: float) -> list[entry.AuditEntry]:
        """Return the audit log since a time.

        Args:
            since: Unix time in seconds.

        Raises:
            OperatorError: If no daemon answers.
        """
        query = urls.urlencode({'since': since})
        response_body = await self.call('GET', f'/audit?{query}')
        return entry.LIST_ADAPTER.validate_json(response_body)

    async def call(self, method: str, path: str, body: bytes = b'') -> bytes:
        """Send a request to the first daemon that answers.

        Returns:
            The body of the response.

        Raises:
            OperatorError: If no daemon answers or the request is refused.
        """
        for address in self.addresses:
            try:
                response = await self.send_request(address + path, method, body)
            except remote.CALL_ERRORS:
                continue
            content = await response.content()
            if response.status_code == HTTP_OK:
                return content
            raise error_from_response(content)
        raise errors.OperatorError(
            codes.OPERATORS_UNREACHABLE,
            ', '.join(self.addresses),
        )

    async def send_request(
        self,
        url: str,
        method: str,
        body: bytes,
    ) -> typing.Any:
        """Send one request and return the response."""
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            return await self.http_client.request(
                url,
                method,
                headers={'Authorization': f'Bearer {self.token}'},
                data=body or None,
                timeouts=remote.NO_TIMEOUTS,
            )

    async def close(self) -> None:
        """Close the connections."""
        await self.http_client.aclose()


def error_from_response(content: bytes) -> errors.OperatorError:
    """Return the error that the body of a response describes."""
    try:
        fields = orjson.loads(content)
    except orjson.JSONDecodeError:
        fields = {}
    code = codes.CODES_BY_NUMBER.get(
        fields.get('code', 0), codes.OPERATORS_UNREACHABLE
    )
    return errors.OperatorError(code, fields.get('detail', ''))


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """A new key of a client account.

    Attributes:
        secret: The key, shown to the operator once.
        digest: Digest of the key, the only part that is stored.
    """

    secret: str
    digest: str


def new_key() -> NewKey:
    """Return a new random key."""
    secret = secrets.token_urlsafe(KEY_BYTES)
    return NewKey(secret, key.digest(secret.encode()))
