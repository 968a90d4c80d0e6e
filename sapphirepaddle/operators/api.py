"""HTTP API for operators, health checks and metrics scrapes."""

import asyncio
import dataclasses
import typing
from collections import abc
from http import HTTPStatus

import orjson
import pydantic
from starlette import applications, requests, responses, routing

from sapphirepaddle import clock, codes, entry_components, errors
from sapphirepaddle.audit import audit_log
from sapphirepaddle.objects import kinds
from sapphirepaddle.operators import (
    access,
    plan,
    planner,
    report,
    zone_report,
)
from sapphirepaddle.settings import entry
from sapphirepaddle.store import snapshots
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
    """A plan with the signature of the daemon that created it.

    Attributes:
        body: The plan encoded as JSON.
        signature: HMAC-SHA256 of the body in hexadecimal.
    """

    body: str
    signature: str


SIGNED_PLAN_ADAPTER: typing.Final = pydantic.TypeAdapter(SignedPlan)


class OperatorsApi:
    """Request handlers of the operators' API.

    Attributes:
        components: Components of the daemon.
        exporter: Renders the metrics.
        is_ready: Returns whether the daemon is ready for callers.
    """

    def __init__(
        self,
        components: entry_components.EntryComponents,
        exporter: exporters.Exporter,
        is_ready: abc.Callable[[], bool],
    ) -> None:
        """Initialize the API of a daemon."""
        self.components = components
        self.exporter = exporter
        self.is_ready = is_ready

    def application(self) -> applications.Starlette:
        """Return the ASGI application with all routes."""
        return applications.Starlette(
            routes=[
                routing.Route('/live', self.live),
                routing.Route('/ready', self.ready),
                routing.Route('/metrics', self.metrics),
                routing.Route(
                    '/status', self.require_authentication(self.status)
                ),
                routing.Route(
                    '/objects', self.require_authentication(self.objects)
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
        handler: Handler,
    ) -> abc.Callable[[Request], abc.Awaitable[Response]]:
        """Wrap a handler with authentication and error responses."""

        async def authenticated(request: Request) -> Response:  # noqa: WPS430
            try:
                operator = access.authenticate(
                    request.headers.get('authorization', ''),
                    self.components.settings.operators_access,
                )
                return await handler(request, operator)
            except errors.PaddleError as error:
                return error_response(error)

        return authenticated

    async def live(self, _request: Request) -> Response:
        """Respond that the process is alive."""
        return responses.JSONResponse({'live': True})

    async def ready(self, _request: Request) -> Response:
        """Respond whether the daemon is ready for callers; 503 if not."""
        ready = self.is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return responses.JSONResponse({'ready': ready}, status)

    async def metrics(self, _request: Request) -> Response:
        """Respond with the metrics in text format."""
        return Response(self.exporter.render(), media_type='text/plain')

    async def status(
        self,
        _request: Request,
        _operator: entry.Operator,
    ) -> Response:
        """Respond with the state of the fleet as this daemon knows it."""
        return json_response(fleet_report(self.components))

    async def objects(
        self,
        _request: Request,
        _operator: entry.Operator,
    ) -> Response:
        """Respond with all objects in force; keys are given as digests."""
        current = self.components.active_configuration.configuration
        return json_response({'objects': snapshots.list_objects(current)})

    async def audit(
        self,
        request: Request,
        _operator: entry.Operator,
    ) -> Response:
        """Respond with the audit entries since a Unix time.

        Raises:
            OperatorError: If the `since` parameter is not a number.
        """
        since = parse_number(request.query_params.get('since', '0'))
        await self.components.audit_log.flush()
        return json_response(await audit_log.read(self.components.store, since))

    async def wait_for_rollout(
        self,
        request: Request,
        _operator: entry.Operator,
    ) -> Response:
        """Respond with the rollout of a revision once it is complete.

        Responds earlier when the `wait` parameter, in seconds and capped
        at MAX_WAIT_SECONDS, has elapsed.

        Raises:
            OperatorError: If the `wait` parameter is not a number.
        """
        revision = request.path_params['revision']
        wait_seconds = parse_number(request.query_params.get('wait', '0'))
        deadline = clock.monotonic() + min(wait_seconds, MAX_WAIT_SECONDS)
        rollout = self.rollout_status(revision)
        while rollout.lagging and clock.monotonic() < deadline:
            await asyncio.sleep(POLL_SECONDS)
            rollout = self.rollout_status(revision)
        return json_response(rollout)

    def rollout_status(self, revision: int) -> 'RolloutStatus':
        """Return on which VMs a revision is active now."""
        vms = report.vm_reports(
            self.components.members,
            self.components.daemon_statuses,
            self.components.platform_contact,
            revision,
        )
        return RolloutStatus(
            revision=revision,
            in_force=sum(vm.revision >= revision for vm in vms),
            total=len(vms),
            lagging=tuple(vm for vm in vms if vm.lag),
        )

    async def make_plan(
        self,
        request: Request,
        operator: entry.Operator,
    ) -> Response:
        """Respond with the signed plan of an intent.

        Raises:
            OperatorError: If the operator may only read, or the intent is
                invalid.
        """
        access.require_operator(operator)
        plan_request = parse_body(PLAN_REQUEST_ADAPTER, await request.body())
        new_plan = self.components.planner.make_plan(
            plan_request, operator.name
        )
        body = new_plan.encode()
        secret = self.components.settings.peer_secrets[0]
        return json_response(
            SignedPlan(body=body.decode(), signature=plan.sign(body, secret)),
        )

    async def confirm(
        self,
        request: Request,
        operator: entry.Operator,
    ) -> Response:
        """Carry out a signed plan and respond with the result.

        Raises:
            OperatorError: If the operator may only read, or the plan is
                unreadable or stale.
        """
        access.require_operator(operator)
        signed_plan = parse_body(SIGNED_PLAN_ADAPTER, await request.body())
        confirmed_plan = plan.verify_and_decode(
            signed_plan.body.encode(),
            signed_plan.signature,
            self.components.settings.peer_secrets,
        )
        confirmation = await self.components.confirmer.confirm(
            confirmed_plan, operator.name
        )
        return json_response(confirmation)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutStatus:
    """Progress of a revision over the VMs of the fleet.

    Attributes:
        revision: The configuration revision.
        in_force: Number of VMs on which it is active.
        total: Number of VMs in the fleet.
        lagging: VMs on which it is not active yet.
    """

    revision: int
    in_force: int
    total: int
    lagging: tuple[report.VmReport, ...]


def create(
    components: entry_components.EntryComponents,
    exporter: exporters.Exporter,
    is_ready: abc.Callable[[], bool],
) -> applications.Starlette:
    """Return the ASGI application of the operators' API."""
    return OperatorsApi(components, exporter, is_ready).application()


def fleet_report(
    components: entry_components.EntryComponents,
) -> report.FleetReport:
    """Return the state of the fleet as this daemon knows it."""
    vms = report.vm_reports(
        components.members,
        components.daemon_statuses,
        components.platform_contact,
        components.active_configuration.revision,
    )
    return report.FleetReport(
        vm=components.settings.vm,
        state='leaving' if components.gateway.leaving else 'serving',
        revision=components.active_configuration.revision,
        in_force=report.count_in_force(vms, components.active_configuration),
        total=len(vms),
        vms=vms,
        zones=zone_report.zone_reports(
            components.dispatcher.routing_table.emptied_zones
        ),
        targets=report.target_reports(components.dispatcher.routing_table),
        accounts=report.account_reports(components.quota_limiter),
        platform=report.PlatformReport(
            silent=components.watcher.is_platform_silent,
            age=round(
                components.platform_contact.platform_age(clock.monotonic()), 2
            ),
            calls=components.store.calls,
            watching=components.watcher.is_watcher(),
        ),
    )


def json_response(body: typing.Any) -> Response:
    """Return a JSON response for a data class or plain value."""
    return Response(orjson.dumps(body), media_type='application/json')


def error_response(error: errors.PaddleError) -> Response:
    """Return the JSON response for an error, with its code and detail."""
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
    """Decode and validate a JSON request body.

    Raises:
        OperatorError: If the body does not match the model.
    """
    try:
        return adapter.validate_json(body)
    except pydantic.ValidationError as error:
        raise errors.OperatorError(
            codes.INTENT_INVALID,
            kinds.summarize(error),
        ) from error


def parse_number(text: str) -> float:
    """Parse a number from a query parameter.

    Raises:
        OperatorError: If the text is not a number.
    """
    try:
        return float(text)
    except ValueError as error:
        raise errors.OperatorError(codes.INTENT_INVALID, text) from error
