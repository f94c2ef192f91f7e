"""A stand-in for the platform's object API, with faults to order."""

import argparse
import json
import math

import trio
from attrs import Factory, asdict, define
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response, abort, jsonify, request
from quart_trio import QuartTrio

MAX_VALUE_BYTES = 1 << 20
MAX_BODY_BYTES = 16 << 20
CALLER_HEADER = 'Catkinslip-Instance'


@define
class Faults:
    """Faults to play; durations are in seconds."""

    #: Refuse each call before it takes effect.
    down: bool = False
    #: Wait before each call.
    delay: float = 0.0
    #: Writes that take effect but are answered with an error.
    lose_answers: int = 0
    #: Writes that take effect but whose connection breaks within the answer.
    cut_answers: int = 0
    #: Age of the list of instances.
    list_lag: float = 0.0
    #: Reads that are answered with the version before the last one.
    stale_reads: int = 0
    #: Watches that are answered with the first version, where a watch begins.
    stale_watches: int = 0
    #: Calls a second of one caller; more are refused with 429. 0 is no bound.
    budget: float = 0.0


@define
class CallCount:
    """The calls of one caller."""

    by_name: dict[str, int] = Factory(dict)
    refused: int = 0
    tokens: float = 0.0
    filled_at: float = -math.inf


@define
class PlatformStandin:
    """Hold objects and the lagging list of instances."""

    object_by_path: dict[str, dict] = Factory(dict)
    earlier_by_path: dict[str, dict] = Factory(dict)
    first_by_path: dict[str, dict] = Factory(dict)
    words_by_instance: dict[str, list[tuple[float, dict]]] = Factory(dict)
    faults: Faults = Factory(Faults)
    count_by_caller: dict[str, CallCount] = Factory(dict)
    changed: trio.Event = Factory(trio.Event)

    def make_app(self) -> QuartTrio:
        """Return the ASGI application."""
        app = QuartTrio('platform')
        app.config['MAX_CONTENT_LENGTH'] = MAX_BODY_BYTES
        app.before_request(self.before)
        app.after_request(self.after)
        path = '/v1/objects/<path:path>'
        app.add_url_rule(path, view_func=self.read)
        app.add_url_rule(path, view_func=self.write, methods=['PUT'])
        app.add_url_rule(path, view_func=self.delete, methods=['DELETE'])
        app.add_url_rule('/v1/watch/<path:path>', view_func=self.watch)
        app.add_url_rule('/v1/instances', view_func=self.list_instances)
        app.add_url_rule(
            '/v1/instances/<name>', view_func=self.announce, methods=['PUT']
        )
        app.add_url_rule('/standin/faults', view_func=self.order, methods=['POST'])
        app.add_url_rule('/standin/calls', view_func=self.calls)
        app.add_url_rule('/standin/callers', view_func=self.callers)
        app.add_url_rule('/standin/objects', view_func=self.objects)
        return app

    async def before(self) -> None:
        """Count the call and play the faults that come before it."""
        if request.path.startswith('/standin'):
            return
        # An answer before the body's end leaves hypercorn's connection unusable.
        await request.get_data()
        count = self.count_by_caller.setdefault(
            request.headers.get(CALLER_HEADER, ''), CallCount()
        )
        name = f'{request.method} {request.endpoint}'
        count.by_name[name] = count.by_name.get(name, 0) + 1
        if self.is_over_budget(count):
            count.refused += 1
            headers = {'Retry-After': '1'}
            abort(Response('over budget\n', status=429, headers=headers))
        if self.faults.delay:
            await trio.sleep(self.faults.delay)
        if self.faults.down:
            abort(Response('down\n', status=503))

    def is_over_budget(self, count: CallCount) -> bool:
        """Take a call from a caller's budget; tell whether none was left."""
        rate = self.faults.budget
        if rate <= 0:
            return False
        now = trio.current_time()
        gained = (now - count.filled_at) * rate
        count.tokens = min(max(1.0, rate), count.tokens + gained)
        count.filled_at = now
        if count.tokens < 1.0:
            return True
        count.tokens -= 1.0
        return False

    async def after(self, response: Response) -> Response:
        """Lose the answer of a write after it took effect."""
        if request.method != 'PUT' or response.status_code >= 400:
            return response
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Response('answer lost\n', status=504)
        if self.faults.cut_answers > 0:
            self.faults.cut_answers -= 1
            response.headers['Content-Length'] = '1000'
        return response

    async def read(self, path: str):
        """Answer with an object."""
        found = self.object_by_path.get(path)
        if self.faults.stale_reads > 0 and path in self.earlier_by_path:
            self.faults.stale_reads -= 1
            found = self.earlier_by_path[path]
        return found if found else Response('none\n', status=404)

    async def write(self, path: str):
        """Write an object if its version is the expected one."""
        if len(await request.get_data()) > MAX_VALUE_BYTES:
            return Response('the value is too large\n', status=413)
        value = await request.get_json()
        # No await from here on: the check and the write are one step.
        found = self.object_by_path.get(path)
        version = found['version'] if found else 0
        expected = int(request.headers.get('If-Match', '0'))
        if expected != version:
            return jsonify({'version': version}), 412
        if found:
            self.earlier_by_path[path] = found
            self.first_by_path.setdefault(path, found)
        self.object_by_path[path] = {'version': version + 1, 'value': value}
        self.changed.set()
        self.changed = trio.Event()
        return {'version': version + 1}

    async def delete(self, path: str):
        """Delete an object."""
        self.object_by_path.pop(path, None)
        self.earlier_by_path.pop(path, None)
        self.first_by_path.pop(path, None)
        return {}

    async def watch(self, path: str):
        """Answer once the object has another version."""
        after = int(request.args['after'])
        first = self.first_by_path.get(path)
        # Only a watcher that holds a newer version can be shown an older one.
        if self.faults.stale_watches > 0 and first and first['version'] < after:
            self.faults.stale_watches -= 1
            return first
        with trio.move_on_after(float(request.args['wait'])):
            while True:
                found = self.object_by_path.get(path)
                if found and found['version'] != after:
                    return found
                await self.changed.wait()
        return Response('', status=304)

    async def list_instances(self):
        """Answer with the list as it was some time ago."""
        latest = trio.current_time() - self.faults.list_lag
        shown = []
        for words in self.words_by_instance.values():
            seen = [word for at, word in words if at <= latest]
            shown.extend(seen[-1:])
        return jsonify(shown)

    async def announce(self, name: str):
        """Put an instance on the list."""
        words = self.words_by_instance.setdefault(name, [])
        words.append((trio.current_time(), await request.get_json()))
        return {}

    async def order(self):
        """Set faults."""
        for name, value in (await request.get_json()).items():
            setattr(self.faults, name, value)
        return asdict(self.faults)

    async def calls(self):
        """Answer with the number of calls of each kind."""
        calls_by_name: dict[str, int] = {}
        for count in self.count_by_caller.values():
            for name, calls in count.by_name.items():
                calls_by_name[name] = calls_by_name.get(name, 0) + calls
        return calls_by_name

    async def callers(self):
        """Answer with the number of calls of each caller."""
        return {
            caller: {'calls': sum(count.by_name.values()), 'refused': count.refused}
            for caller, count in self.count_by_caller.items()
        }

    async def objects(self):
        """Answer with the versions of all objects."""
        return {path: found['version'] for path, found in self.object_by_path.items()}


async def main() -> None:
    """Serve on a port that the kernel chooses, printed as JSON."""
    sock = trio.socket.socket()
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    await sock.bind(('127.0.0.1', parser.parse_args().port))
    sock.listen(256)
    config = Config()
    config.bind = [f'fd://{sock.fileno()}']
    config.loglevel = 'WARNING'
    host, port = sock.getsockname()
    print(json.dumps({'event': 'ready', 'address': f'{host}:{port}'}), flush=True)
    app = PlatformStandin().make_app()
    await serve(app, config, shutdown_trigger=trio.sleep_forever)


if __name__ == '__main__':
    trio.run(main)
