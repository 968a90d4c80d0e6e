"""The baseline: the plainest forwarder from the same libraries."""

import sys

import aiosonic
import uvicorn
from starlette import applications, requests, responses, routing

TARGET = f'http://127.0.0.1:{sys.argv[2]}'
client: list[aiosonic.HTTPClient] = []


async def forward(request: requests.Request) -> responses.Response:
    """Forward one request."""
    if not client:
        client.append(aiosonic.HTTPClient())
    answer = await client[0].request(
        TARGET + request.url.path,
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
