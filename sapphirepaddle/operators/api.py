"""The operators' HTTP API of a daemon."""

import asyncio
import dataclasses
import typing
from collections import abc
from http import HTTPStatus

import orjson
import pydantic
from starlette import applications, requests, responses, routing

from sapphirepaddle import clock, codes, errors, entry_components
from sapphirepaddle.audit import audit_log
from sapphirepaddle.objects import kinds
from sapphirepaddle.operators import access, plan, planner, report
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import exporter as exporters

Request = requests.Request
Response = responses.Response
Handler = abc.Callable[
    [Request, entry.Operator],
    abc.Awaitable[Response],
]
POST: typing.Final = 'POST'
PLAN_REQUEST_ADAPTER: typing.Final = pydantic.TypeAdapter(planner.PlanRequest)
MAX_WAIT_SECONDS: typing.Final = 30
POLL_SECONDS: typing.Final = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SignedPlan:
    """A plan with the signature of the daemon that made it.

    Attributes:
        body: The encoded plan.
        signature: Its signature.
    """

    body: str
    signature: str


SIGNED_PLAN_ADAPTER: typing.Final = pydantic.TypeAdapter(SignedPlan)


class OperatorsApi:
    """Serves operators, health checks and scrapes.

    Attributes:
        parts: The daemon's parts.
        exporter: Metrics.
        is_ready: Tells whether callers should be sent here.
    """

    def __init__(
        self,
        held: entry_components.EntryComponents,
        exporter: exporters.Exporter,
        is_ready: abc.Callable[[], bool],
    ) -> None:
        """Store the parts."""
        self.components = held
        self.exporter = exporter
        self.is_ready = is_ready

    def application(self) -> applications.Starlette:
        """Return the HTTP application."""
        return applications.Starlette(
            routes=[
                routing.Route('/live', self.live),
                routing.Route('/ready', self.ready),
                routing.Route('/metrics', self.metrics),
                routing.Route(
                    '/status', self.require_authentication(self.status)
                ),
                routing.Route(
                    '/audit', self.require_authentication(self.audit)
                ),
                routing.Route(
                    '/changes/{revision:int}',
                    self.require_authentication(self.wait_for_rollout),
                ),
                routing.Route(
                    '/plans',
                    self.require_authentication(self.make_plan),
                    methods=[POST],
                ),
                routing.Route(
                    '/plans/confirm',
                    self.require_authentication(self.confirm),
                    methods=[POST],
                ),
            ],
        )

    def require_authentication(
        self,
        action: Handler,
    ) -> abc.Callable[[Request], abc.Awaitable[Response]]:
        """Wrap an action with authentication and error codes."""

        async def guarded(request: Request) -> Response:  # noqa: WPS430
            try:
                caller = access.authenticate(
                    request.headers.get('authorization', ''),
                    self.components.settings.operators_access,
                )
                return await action(request, caller)
            except errors.PaddleError as error:
                return error_response(error)

        return guarded

    async def live(self, _request: Request) -> Response:
        """Answer that the process runs."""
        return responses.JSONResponse({'live': True})

    async def ready(self, _request: Request) -> Response:
        """Answer whether callers should be sent here."""
        ready = self.is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return responses.JSONResponse({'ready': ready}, status)

    async def metrics(self, _request: Request) -> Response:
        """Answer a scrape."""
        return Response(self.exporter.render(), media_type='text/plain')

    async def status(
        self,
        _request: Request,
        _caller: entry.Operator,
    ) -> Response:
        """Answer the state of the fleet as this daemon knows it."""
        return json_response(fleet_report(self.components))

    async def audit(
        self,
        request: Request,
        _caller: entry.Operator,
    ) -> Response:
        """Answer the audit trail since a time.

        Raises:
            OperatorError: If the time is not a number.
        """
        since = parse_number(request.query_params.get('since', '0'))
        await self.components.audit_log.flush()
        return json_response(await audit_log.read(self.components.store, since))

    async def wait_for_rollout(
        self,
        request: Request,
        _caller: entry.Operator,
    ) -> Response:
        """Answer where a revision is in force, waiting for it.

        Raises:
            OperatorError: If the time to wait is not a number.
        """
        revision = request.path_params['revision']
        wait = parse_number(request.query_params.get('wait', '0'))
        until = clock.monotonic() + min(wait, MAX_WAIT_SECONDS)
        followed = self.rollout_status(revision)
        while followed.lagging and clock.monotonic() < until:
            await asyncio.sleep(POLL_SECONDS)
            followed = self.rollout_status(revision)
        return json_response(followed)

    def rollout_status(self, revision: int) -> 'RolloutStatus':
        """Return where a revision is in force now."""
        vms = report.vm_reports(
            self.components.members,
            self.components.daemon_statuses,
            self.components.platform_contact,
            revision,
        )
        return RolloutStatus(
            revision=revision,
            in_force=sum(listed.revision >= revision for listed in vms),
            total=len(vms),
            lagging=tuple(listed for listed in vms if listed.lag),
        )

    async def make_plan(
        self,
        request: Request,
        caller: entry.Operator,
    ) -> Response:
        """Answer the plan of an intent.

        Raises:
            OperatorError: If the caller may not, or the intent is wrong.
        """
        access.require_operator(caller)
        wanted = parse_body(PLAN_REQUEST_ADAPTER, await request.body())
        made = self.components.planner.make_plan(wanted, caller.name)
        body = made.encode()
        secret = self.components.settings.peer_secrets[0]
        return json_response(
            SignedPlan(body=body.decode(), signature=plan.sign(body, secret)),
        )

    async def confirm(
        self,
        request: Request,
        caller: entry.Operator,
    ) -> Response:
        """Carry out a plan and answer what became of it.

        Raises:
            OperatorError: If the caller may not, or the plan is stale.
        """
        access.require_operator(caller)
        signed = parse_body(SIGNED_PLAN_ADAPTER, await request.body())
        agreed = plan.verify_and_decode(
            signed.body.encode(),
            signed.signature,
            self.components.settings.peer_secrets,
        )
        outcome = await self.components.confirmer.confirm(agreed, caller.name)
        return json_response(outcome)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutStatus:
    """Where a revision is in force.

    Attributes:
        revision: The revision.
        in_force: VMs on which it is in force.
        total: VMs of the fleet.
        lagging: VMs on which it is not.
    """

    revision: int
    in_force: int
    total: int
    lagging: tuple[report.VmReport, ...]


def create(
    held: entry_components.EntryComponents,
    exporter: exporters.Exporter,
    is_ready: abc.Callable[[], bool],
) -> applications.Starlette:
    """Return the operators' application of a daemon."""
    return OperatorsApi(held, exporter, is_ready).application()


def fleet_report(held: entry_components.EntryComponents) -> report.FleetReport:
    """Return the state of the fleet as a daemon knows it."""
    vms = report.vm_reports(
        held.members,
        held.daemon_statuses,
        held.platform_contact,
        held.active_configuration.revision,
    )
    return report.FleetReport(
        vm=held.settings.vm,
        state='leaving' if held.gateway.leaving else 'serving',
        revision=held.active_configuration.revision,
        in_force=report.count_in_force(vms, held.active_configuration),
        total=len(vms),
        vms=vms,
        targets=report.target_reports(held.dispatcher.routing_table),
        accounts=report.account_reports(held.quota_limiter),
        platform=report.PlatformReport(
            silent=held.watcher.is_platform_silent,
            age=round(held.platform_contact.platform_age(clock.monotonic()), 2),
            calls=held.store.calls,
            watching=held.watcher.is_watcher(),
        ),
    )


def json_response(body: typing.Any) -> Response:
    """Return an answer in JSON."""
    return Response(orjson.dumps(body), media_type='application/json')


def error_response(error: errors.PaddleError) -> Response:
    """Return the answer for an error."""
    body = {
        'code': error.code.number,
        'name': error.code.name,
        'text': error.code.text,
        'detail': error.detail,
    }
    status = error.code.http_status or HTTPStatus.INTERNAL_SERVER_ERROR
    return responses.JSONResponse(body, status)


def parse_body(
    adapter: 'pydantic.TypeAdapter[typing.Any]', body: bytes
) -> typing.Any:
    """Read the body of a call.

    Raises:
        OperatorError: If it is malformed.
    """
    try:
        return adapter.validate_json(body)
    except pydantic.ValidationError as error:
        raise errors.OperatorError(
            codes.INTENT_INVALID,
            kinds.summarize(error),
        ) from error


def parse_number(text: str) -> float:
    """Read a number of a query.

    Raises:
        OperatorError: If it is none.
    """
    try:
        return float(text)
    except ValueError as error:
        raise errors.OperatorError(codes.INTENT_INVALID, text) from error
