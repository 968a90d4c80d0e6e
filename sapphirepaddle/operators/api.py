"""The operators' HTTP API of a daemon."""

import asyncio
import dataclasses
import typing
from collections import abc
from http import HTTPStatus

import orjson
import pydantic
from starlette import applications, requests, responses, routing

from sapphirepaddle import clock, codes, errors, parts
from sapphirepaddle.audit import trail
from sapphirepaddle.objects import kinds
from sapphirepaddle.operators import access, plan, planner, report
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import exporter as exporters

Request = requests.Request
Response = responses.Response
Action = abc.Callable[
    [Request, entry.Operator],
    abc.Awaitable[Response],
]
POST: typing.Final = 'POST'
WANTED: typing.Final = pydantic.TypeAdapter(planner.Wanted)
MOST_WAIT_SECONDS: typing.Final = 30
POLL_SECONDS: typing.Final = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Signed:
    """A plan with the signature of the daemon that made it.

    Attributes:
        body: The encoded plan.
        signature: Its signature.
    """

    body: str
    signature: str


SIGNED: typing.Final = pydantic.TypeAdapter(Signed)


class OperatorsApi:
    """Serves operators, health checks and scrapes.

    Attributes:
        parts: The daemon's parts.
        exporter: Metrics.
        is_ready: Tells whether callers should be sent here.
    """

    def __init__(
        self,
        held: parts.Parts,
        exporter: exporters.Exporter,
        is_ready: abc.Callable[[], bool],
    ) -> None:
        """Store the parts."""
        self.parts = held
        self.exporter = exporter
        self.is_ready = is_ready

    def application(self) -> applications.Starlette:
        """Return the HTTP application."""
        return applications.Starlette(
            routes=[
                routing.Route('/live', self.live),
                routing.Route('/ready', self.ready),
                routing.Route('/metrics', self.metrics),
                routing.Route('/status', self.guard(self.status)),
                routing.Route('/audit', self.guard(self.audit)),
                routing.Route(
                    '/changes/{revision:int}',
                    self.guard(self.follow),
                ),
                routing.Route(
                    '/plans',
                    self.guard(self.make_plan),
                    methods=[POST],
                ),
                routing.Route(
                    '/plans/confirm',
                    self.guard(self.confirm),
                    methods=[POST],
                ),
            ],
        )

    def guard(
        self,
        action: Action,
    ) -> abc.Callable[[Request], abc.Awaitable[Response]]:
        """Wrap an action with authentication and error codes."""

        async def guarded(request: Request) -> Response:  # noqa: WPS430
            try:
                caller = access.authenticate(
                    request.headers.get('authorization', ''),
                    self.parts.settings.operators_access,
                )
                return await action(request, caller)
            except errors.PaddleError as error:
                return refuse(error)

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
        return encode(fleet_report(self.parts))

    async def audit(
        self,
        request: Request,
        _caller: entry.Operator,
    ) -> Response:
        """Answer the audit trail since a time.

        Raises:
            OperatorError: If the time is not a number.
        """
        since = number(request.query_params.get('since', '0'))
        await self.parts.audit.flush()
        return encode(await trail.read(self.parts.store, since))

    async def follow(
        self,
        request: Request,
        _caller: entry.Operator,
    ) -> Response:
        """Answer where a revision is in force, waiting for it.

        Raises:
            OperatorError: If the time to wait is not a number.
        """
        revision = request.path_params['revision']
        wait = number(request.query_params.get('wait', '0'))
        until = clock.monotonic() + min(wait, MOST_WAIT_SECONDS)
        followed = self.followed(revision)
        while followed.lagging and clock.monotonic() < until:
            await asyncio.sleep(POLL_SECONDS)
            followed = self.followed(revision)
        return encode(followed)

    def followed(self, revision: int) -> 'Followed':
        """Return where a revision is in force now."""
        vms = report.vm_reports(
            self.parts.members,
            self.parts.status,
            self.parts.freshness,
            revision,
        )
        return Followed(
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
        wanted = parse(WANTED, await request.body())
        made = self.parts.planner.make(wanted, caller.name)
        body = made.encode()
        secret = self.parts.settings.peer_secrets[0]
        return encode(
            Signed(body=body.decode(), signature=plan.sign(body, secret)),
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
        signed = parse(SIGNED, await request.body())
        agreed = plan.read(
            signed.body.encode(),
            signed.signature,
            self.parts.settings.peer_secrets,
        )
        outcome = await self.parts.confirmer.confirm(agreed, caller.name)
        return encode(outcome)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Followed:
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
    held: parts.Parts,
    exporter: exporters.Exporter,
    is_ready: abc.Callable[[], bool],
) -> applications.Starlette:
    """Return the operators' application of a daemon."""
    return OperatorsApi(held, exporter, is_ready).application()


def fleet_report(held: parts.Parts) -> report.FleetReport:
    """Return the state of the fleet as a daemon knows it."""
    vms = report.vm_reports(
        held.members,
        held.status,
        held.freshness,
        held.current.revision,
    )
    return report.FleetReport(
        vm=held.settings.vm,
        state='leaving' if held.gateway.leaving else 'serving',
        revision=held.current.revision,
        in_force=report.count_in_force(vms, held.current),
        total=len(vms),
        vms=vms,
        targets=report.target_reports(held.dispatcher.table),
        accounts=report.account_reports(held.limits),
        platform=report.PlatformReport(
            silent=held.watcher.is_platform_silent,
            age=round(held.freshness.platform_age(clock.monotonic()), 2),
            calls=held.store.calls,
            watching=held.watcher.is_watcher(),
        ),
    )


def encode(body: typing.Any) -> Response:
    """Return an answer in JSON."""
    return Response(orjson.dumps(body), media_type='application/json')


def refuse(error: errors.PaddleError) -> Response:
    """Return the answer for an error."""
    body = {
        'code': error.code.number,
        'name': error.code.name,
        'text': error.code.text,
        'detail': error.detail,
    }
    status = error.code.status or HTTPStatus.INTERNAL_SERVER_ERROR
    return responses.JSONResponse(body, status)


def parse(
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


def number(text: str) -> float:
    """Read a number of a query.

    Raises:
        OperatorError: If it is none.
    """
    try:
        return float(text)
    except ValueError as error:
        raise errors.OperatorError(codes.INTENT_INVALID, text) from error
