"""Stand-in for the platform's object API with configurable faults."""

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
    """Faults to inject; durations are in seconds."""

    #: Whether each call is refused before it takes effect.
    down: bool = False
    #: Delay before each call.
    delay: float = 0.0
    #: Number of coming writes that take effect but are answered with an error.
    lose_answers: int = 0
    #: Number of coming writes that take effect but whose answer is cut.
    cut_answers: int = 0
    #: Age of the list of instances.
    list_lag: float = 0.0
    #: Number of coming reads that are answered with the previous version.
    stale_reads: int = 0
    #: Number of coming watches that are answered with the first version.
    stale_watches: int = 0
    #: Calls per second of one caller; more are refused with 429. 0 is no limit.
    budget: float = 0.0


@define
class CallCount:
    """Number of calls of one caller, and its rate limit's token bucket."""

    by_name: dict[str, int] = Factory(dict)
    refused: int = 0
    tokens: float = 0.0
    filled_at: float = -math.inf


@define
class PlatformStandin:
    """Platform that holds objects and a list of instances that may lag."""

    object_by_path: dict[str, dict] = Factory(dict)
    earlier_by_path: dict[str, dict] = Factory(dict)
    first_by_path: dict[str, dict] = Factory(dict)
    announcements_by_instance: dict[str, list[tuple[float, dict]]] = Factory(dict)
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
        """Count the call and inject the faults that precede its handling."""
        if request.path.startswith('/standin'):
            return
        # Answering before the body's end makes hypercorn's connection unusable.
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
        """Deduct a call from a caller's budget; return whether the budget was spent."""
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
        """Replace or cut the answer of a write that took effect, if ordered."""
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
        """Answer with an object, or with its previous version as a fault."""
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
        # There is no await from here on, so that the check and the write are atomic.
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
        """Answer with the object once its version differs from the known one."""
        after = int(request.args['after'])
        first = self.first_by_path.get(path)
        # Only a watcher that has a newer version can receive an older one.
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
        """Answer with the list of instances of `list_lag` seconds ago."""
        latest = trio.current_time() - self.faults.list_lag
        shown = []
        for announcements in self.announcements_by_instance.values():
            seen = [announcement for at, announcement in announcements if at <= latest]
            shown.extend(seen[-1:])
        return jsonify(shown)

    async def announce(self, name: str):
        """Record an instance's announcement in the list."""
        announcements = self.announcements_by_instance.setdefault(name, [])
        announcements.append((trio.current_time(), await request.get_json()))
        return {}

    async def order(self):
        """Set faults from a JSON object and answer with all faults."""
        for name, value in (await request.get_json()).items():
            setattr(self.faults, name, value)
        return asdict(self.faults)

    async def calls(self):
        """Answer with the number of calls by method and endpoint."""
        calls_by_name: dict[str, int] = {}
        for count in self.count_by_caller.values():
            for name, calls in count.by_name.items():
                calls_by_name[name] = calls_by_name.get(name, 0) + calls
        return calls_by_name

    async def callers(self):
        """Answer with the number of calls and of refused calls by caller."""
        return {
            caller: {'calls': sum(count.by_name.values()), 'refused': count.refused}
            for caller, count in self.count_by_caller.items()
        }

    async def objects(self):
        """Answer with the versions of all objects."""
        return {path: found['version'] for path, found in self.object_by_path.items()}


async def main() -> None:
    """Run the platform; print the address as JSON when ready."""
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
