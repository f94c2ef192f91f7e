"""A proxy on quart and httpx, only to measure that way against the product's."""

import argparse
import json

import httpx
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response, request
from quart_trio import QuartTrio

HOP_BY_HOP = {'connection', 'transfer-encoding', 'keep-alive', 'content-length'}


def make_app(client: httpx.AsyncClient) -> QuartTrio:
    """Return an application that passes every request on."""
    app = QuartTrio('quart_proxy')

    @app.route('/<path:path>', methods=['GET', 'POST'])
    async def forward(path: str) -> Response:
        headers = [each for each in request.headers if each[0].lower() != 'connection']
        answer = await client.request(
            request.method,
            '/' + path,
            headers=headers,
            content=await request.get_data(),
        )
        kept = {k: v for k, v in answer.headers.items() if k not in HOP_BY_HOP}
        return Response(answer.content, answer.status_code, kept)

    return app


async def main() -> None:
    """Serve on a port that the kernel chooses, printed as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--backend', required=True)
    backend = parser.parse_args().backend
    sock = trio.socket.socket()
    await sock.bind(('127.0.0.1', 0))
    sock.listen(256)
    config = Config()
    config.bind = [f'fd://{sock.fileno()}']
    config.loglevel = 'WARNING'
    config.keep_alive_max_requests = 1 << 30
    host, port = sock.getsockname()
    print(json.dumps({'event': 'ready', 'address': f'{host}:{port}'}), flush=True)
    async with httpx.AsyncClient(base_url=f'http://{backend}') as client:
        await serve(make_app(client), config, shutdown_trigger=trio.sleep_forever)


if __name__ == '__main__':
    trio.run(main)
