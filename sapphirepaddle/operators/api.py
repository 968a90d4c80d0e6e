"""The operators' HTTP API of a daemon."""

import typing
from collections import abc

from starlette import applications, requests, responses, routing

from sapphirepaddle.telemetry import counters


def create(
    parts: typing.Any,
    exporter: counters.Exporter,
    is_ready: abc.Callable[[], bool],
) -> applications.Starlette:
    """Return the application."""

    async def ready(_request: requests.Request) -> responses.Response:
        ok = is_ready()
        return responses.JSONResponse({'ready': ok}, 200 if ok else 503)

    async def metrics(_request: requests.Request) -> responses.Response:
        return responses.Response(exporter.render(), media_type='text/plain')

    async def status(_request: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {
                'revision': parts.current.revision,
                'vms': {k: v.state for k, v in parts.members.vms.items()},
                'statuses': {
                    k: v.revision for k, v in parts.status.statuses.items()
                },
                'links': {k: len(v) for k, v in parts.mesh.links.items()},
                'owners': parts.owner.held.owners,
                'watcher': parts.watcher.is_watcher(),
            }
        )

    return applications.Starlette(
        routes=[
            routing.Route('/ready', ready),
            routing.Route('/metrics', metrics),
            routing.Route('/status', status),
        ]
    )
