"""What operators do, as functions: the layer below the command line."""

import asyncio
import dataclasses
import secrets
import typing
from collections import abc
from urllib import parse as urls

import aiosonic
import orjson
import pydantic

from sapphirepaddle import codes, errors
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
    """A plan as a daemon offers it.

    Attributes:
        plan: The plan.
        signed: The plan with its signature, to be sent back.
    """

    plan: plan.Plan
    signed: api.SignedPlan


class OperatorsClient:
    """Talks with the operators' API of any daemon that answers.

    Attributes:
        addresses: Base URLs of daemons, tried in order.
        token: The operator's token.
        http: The HTTP client.
    """

    def __init__(self, addresses: abc.Sequence[str], token: str) -> None:
        """Store addresses and token."""
        self.addresses = addresses
        self.token = token
        self.http = aiosonic.HTTPClient()

    async def make_plan(self, wanted: planner.PlanRequest) -> ReceivedPlan:
        """Return the plan of an intent.

        Raises:
            OperatorError: If it is refused.
        """
        body = await self.call('POST', '/plans', orjson.dumps(wanted))
        signed = api.SIGNED_PLAN_ADAPTER.validate_json(body)
        return ReceivedPlan(plan.ADAPTER.validate_json(signed.body), signed)

    async def confirm(self, offer: ReceivedPlan) -> confirmer.Confirmation:
        """Carry out exactly a plan.

        Raises:
            OperatorError: If it is refused.
        """
        body = orjson.dumps(offer.signed)
        answer = await self.call('POST', '/plans/confirm', body)
        return CONFIRMATION_ADAPTER.validate_json(answer)

    async def wait_for_rollout(
        self, revision: int, wait: float
    ) -> api.RolloutStatus:
        """Return where a revision is in force, waiting for it.

        Raises:
            OperatorError: If no daemon answers.
        """
        path = f'/changes/{revision}?wait={wait}'
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

    async def audit(self, since: float) -> list[entry.AuditEntry]:
        """Return the audit trail since a time.

        Raises:
            OperatorError: If no daemon answers.
        """
        query = urls.urlencode({'since': since})
        answer = await self.call('GET', f'/audit?{query}')
        return entry.LIST_ADAPTER.validate_json(answer)

    async def call(self, method: str, path: str, body: bytes = b'') -> bytes:
        """Make one call to the first daemon that answers.

        Raises:
            OperatorError: If none answers, or the call is refused.
        """
        for address in self.addresses:
            try:
                answer = await self.send_request(address + path, method, body)
            except remote.CALL_ERRORS:
                continue
            content = await answer.content()
            if answer.status_code == HTTP_OK:
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
        """Send one request."""
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            return await self.http.request(
                url,
                method,
                headers={'Authorization': f'Bearer {self.token}'},
                data=body or None,
                timeouts=remote.NO_TIMEOUTS,
            )

    async def close(self) -> None:
        """Close the connections."""
        await self.http.aclose()


def error_from_response(content: bytes) -> errors.OperatorError:
    """Return the error that an answer carries."""
    try:
        body = orjson.loads(content)
    except orjson.JSONDecodeError:
        body = {}
    code = codes.CODES_BY_NUMBER.get(
        body.get('code', 0), codes.OPERATORS_UNREACHABLE
    )
    return errors.OperatorError(code, body.get('detail', ''))


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """A key that was just made.

    Attributes:
        secret: The key, shown once.
        digest: Its digest, which is all that is kept.
    """

    secret: str
    digest: str


def new_key() -> NewKey:
    """Make a random key."""
    secret = secrets.token_urlsafe(KEY_BYTES)
    return NewKey(secret, key.digest(secret.encode()))
