"""A stand-in for the users' store of objects: revisions, watches, faults to order."""

from collections.abc import Callable

import trio
from attrs import Factory, define, frozen
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response, jsonify, request
from quart_trio import QuartTrio

PAGE_ITEMS = 500
MAX_WAIT_SECONDS = 30.0


@define
class StoreFaults:
    """Faults to play; durations are in seconds."""

    #: Statuses that callers get, by the caller's IP number and port or `*` for all.
    refuse_with: int = 0
    #: Wait before each call.
    delay: float = 0.0
    #: Writes that take effect and whose answer is an error.
    lose_answers: int = 0
    #: Whether watches hear nothing of changes.
    silent: bool = False


@frozen
class StoreCopy:
    """What the store held at a revision."""

    item_by_key: dict[tuple[str, str], dict]
    revision: int


@define
class ObjectsStandin:
    """Hold objects by kind and name, and the history of their changes."""

    item_by_key: dict[tuple[str, str], dict] = Factory(dict)
    history: list[tuple[int, str, dict, bool]] = Factory(list)
    revision: int = 1
    #: Told in all answers; it rises as the store comes back from a copy. None where it
    #: is not told.
    era: int | None = None
    #: Whether a watch from a revision that the store does not have is told so; it may
    #: have passed the revision again before anybody asks.
    tells_gone: bool = True
    #: Changes up to this revision were dropped from the history.
    forgotten: int = 0
    faults: StoreFaults = Factory(StoreFaults)
    calls: list[str] = Factory(list)
    page_items: int = PAGE_ITEMS
    #: Called after each page of a listing.
    on_page: Callable[[], None] = lambda: None
    changed: trio.Event = Factory(trio.Event)

    def put(self, kind: str, name: str, spec: object, status: object = None) -> dict:
        """Write an object as the platform itself does."""
        self.revision += 1
        item = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
            'status': status,
        }
        self.item_by_key[kind, name] = item
        self._record(kind, item, tombstone=False)
        return item

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object; tell whether there was one."""
        item = self.item_by_key.pop((kind, name), None)
        if item is None:
            return False
        self.revision += 1
        self._record(kind, item, tombstone=True)
        return True

    def forget_history(self) -> None:
        """Drop the history, as a compaction does, and cut all watches."""
        self.forgotten = self.revision
        self.history.clear()
        self._wake()

    def copy(self) -> StoreCopy:
        """Return a copy to come back from; objects are never changed in place."""
        return StoreCopy(dict(self.item_by_key), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: what was written since is gone, revisions too."""
        self.item_by_key = dict(copy.item_by_key)
        self.revision = copy.revision
        self.history = [each for each in self.history if each[0] <= copy.revision]
        self.era = (self.era or 0) + 1
        self._wake()

    def _record(self, kind: str, item: dict, *, tombstone: bool) -> None:
        self.history.append((self.revision, kind, item, tombstone))
        if not self.faults.silent:
            self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def make_app(self) -> QuartTrio:
        """Return the ASGI application."""
        app = QuartTrio('objects')
        app.before_request(self.before)
        app.after_request(self.after)
        path = '/catkinslip/objects/<kind>'
        app.add_url_rule(path, view_func=self.list_or_watch)
        app.add_url_rule(path, view_func=self.create, methods=['POST'])
        path = f'{path}/<name>'
        app.add_url_rule(path, view_func=self.read)
        app.add_url_rule(path, view_func=self.replace, methods=['PUT'])
        app.add_url_rule(path, view_func=self.delete, methods=['DELETE'])
        return app

    async def before(self) -> Response | None:
        """Count the call and play the faults that come before it."""
        await request.get_data()
        self.calls.append(f'{request.method} {request.full_path}')
        if self.faults.delay:
            await trio.sleep(self.faults.delay)
        if self.faults.refuse_with:
            return Response('refused\n', status=self.faults.refuse_with)
        return None

    async def after(self, response: Response) -> Response:
        """Tell the life of the store in each answer."""
        if self.era is not None:
            response.headers['Store-Era'] = str(self.era)
        return response

    async def list_or_watch(self, kind: str):
        """Answer with all objects of a kind, or with what changed."""
        if 'watch' in request.args:
            return await self._watch(kind)
        after = request.args.get('after', '')
        names = sorted(name for each, name in self.item_by_key if each == kind)
        names = [name for name in names if name > after]
        items = [self.item_by_key[kind, name] for name in names[: self.page_items]]
        more = len(names) > self.page_items
        answer = jsonify({'items': items, 'more': more, 'as_of': self.revision})
        self.on_page()
        return answer

    async def _watch(self, kind: str):
        since = int(request.args['watch'])
        wait = min(float(request.args['wait_ms']) / 1000, MAX_WAIT_SECONDS)
        with trio.move_on_after(wait):
            while not self._is_gone(since) and not self._events(kind, since):
                await self.changed.wait()
        if self._is_gone(since):
            return Response('gone\n', status=410)
        events = self._events(kind, since)
        return jsonify({'events': events, 'as_of': self.revision})

    def _is_gone(self, since: int) -> bool:
        is_unknown = self.tells_gone and since > self.revision
        return since < self.forgotten or is_unknown

    def _events(self, kind: str, since: int) -> list[dict]:
        return [
            {'object': item, 'tombstone': tombstone}
            for revision, each, item, tombstone in self.history
            if each == kind and revision > since
        ]

    async def read(self, kind: str, name: str):
        """Answer with one object."""
        found = self.item_by_key.get((kind, name))
        return Response('none\n', status=404) if found is None else jsonify(found)

    async def create(self, kind: str):
        """Create an object unless there is one."""
        body = await request.get_json()
        name = body['metadata']['name']
        if (kind, name) in self.item_by_key:
            return jsonify(self.item_by_key[kind, name]), 409
        return self._answer(self.put(kind, name, body['spec']))

    async def replace(self, kind: str, name: str):
        """Replace an object's content; one that is the same changes nothing."""
        body = await request.get_json()
        found = self.item_by_key.get((kind, name))
        if found is None:
            return Response('none\n', status=404)
        wanted = body['metadata'].get('revision')
        if wanted not in (None, found['metadata']['revision']):
            return jsonify(found), 409
        if found['spec'] == body['spec']:
            return self._answer(found)
        return self._answer(self.put(kind, name, body['spec']))

    async def delete(self, kind: str, name: str):
        """Delete an object, of a revision where one is given."""
        found = self.item_by_key.get((kind, name))
        wanted = request.args.get('revision')
        if found and wanted not in (None, str(found['metadata']['revision'])):
            return jsonify(found), 409
        return Response('{}', status=200 if self.remove(kind, name) else 404)

    def _answer(self, item: dict):
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Response('lost\n', status=500)
        return jsonify(item)


async def serve_objects(
    standin: ObjectsStandin,
    on_ready: Callable[[int], None],
    port: int = 0,
) -> None:
    """Serve on a port, the kernel's choice if 0, until cancelled."""
    sock = trio.socket.socket()
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    await sock.bind(('127.0.0.1', port))
    sock.listen(64)
    on_ready(sock.getsockname()[1])
    config = Config()
    # The server makes a socket of its own of the descriptor; were both closed, the
    # second would close whatever has the number by then.
    config.bind = [f'fd://{sock.detach()}']
    config.loglevel = 'WARNING'
    await serve(standin.make_app(), config, shutdown_trigger=trio.sleep_forever)
