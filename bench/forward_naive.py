"""Baseline: a minimal HTTP forwarder built with the daemon's libraries."""

import sys

import aiosonic
import uvicorn
from starlette import applications, requests, responses, routing

TARGET_URL = f'http://127.0.0.1:{sys.argv[2]}'
clients: list[aiosonic.HTTPClient] = []


async def forward(request: requests.Request) -> responses.Response:
    """Forward one request to the target, without its body."""
    if not clients:
        clients.append(aiosonic.HTTPClient())
    answer = await clients[0].request(
        TARGET_URL + request.url.path,
        request.method,
        headers={name: value for name, value in request.headers.items()},
    )
    return responses.Response(
        await answer.content(),
        answer.status_code,
    )


application = applications.Starlette(
    routes=[routing.Route('/{path:path}', forward)],
)

if __name__ == '__main__':
    uvicorn.run(
        application,
        host='127.0.0.1',
        port=int(sys.argv[1]),
        log_level='critical',
        access_log=False,
        timeout_keep_alive=75,
    )
