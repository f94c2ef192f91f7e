"""Stand-in object store with revisions, watches and configurable faults."""

from collections.abc import Callable
from urllib.parse import parse_qs

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
    """Faults to inject; durations are in seconds."""

    #: HTTP status that every call is refused with; 0 for none.
    refuse_with: int = 0
    #: Delay before each call.
    delay: float = 0.0
    #: Number of coming writes that take effect but are answered with an error.
    lose_answers: int = 0
    #: Whether changes wake no watches.
    silent: bool = False


@frozen
class StoreBackup:
    """Backup of the store's objects at a revision."""

    item_by_key: dict[tuple[str, str], dict]
    revision: int


@define
class ObjectsStandin:
    """Store that holds objects by kind and name, and the history of their changes."""

    item_by_key: dict[tuple[str, str], dict] = Factory(dict)
    history: list[tuple[int, str, dict, bool]] = Factory(list)
    #: JSON texts that answers hold in place of a value, by the value.
    text_by_value: dict[str, str] = Factory(dict)
    revision: int = 1
    #: Number sent in all answers, which rises with each restore from a backup; None
    #: if answers carry no era.
    era: int | None = None
    #: Whether a watch from a revision above the store's own is answered with 410; the
    #: store may have passed that revision again before a watch arrives.
    answers_gone: bool = True
    #: Last revision whose changes were dropped from the history.
    dropped_until: int = 0
    faults: StoreFaults = Factory(StoreFaults)
    calls: list[str] = Factory(list)
    page_items: int = PAGE_ITEMS
    #: Callback after each page of a listing.
    on_page: Callable[[], None] = lambda: None
    changed: trio.Event = Factory(trio.Event)

    def put(self, kind: str, name: str, spec: object, status: object = None) -> dict:
        """Write an object directly, without an HTTP call, and return it."""
        self.revision += 1
        item = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
            'status': status,
        }
        self.item_by_key[kind, name] = item
        self._record(kind, item, tombstone=False)
        return item

    def put_text(self, kind: str, name: str, text: str) -> None:
        """Write an object whose spec is a JSON text, which no decoder has to accept."""
        value = f'text {len(self.text_by_value)}'
        self.text_by_value[value] = text
        self.put(kind, name, value)

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object; return whether it existed."""
        item = self.item_by_key.pop((kind, name), None)
        if item is None:
            return False
        self.revision += 1
        self._record(kind, item, tombstone=True)
        return True

    def forget_history(self) -> None:
        """Drop the history, as a compaction does, and wake all watches."""
        self.dropped_until = self.revision
        self.history.clear()
        self._wake()

    def backup(self) -> StoreBackup:
        """Return a backup of the store; objects are never changed in place."""
        return StoreBackup(dict(self.item_by_key), self.revision)

    def restore(self, backup: StoreBackup) -> None:
        """Restore a backup: later writes and revisions are lost and the era rises."""
        self.item_by_key = dict(backup.item_by_key)
        self.revision = backup.revision
        self.history = [each for each in self.history if each[0] <= backup.revision]
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
        """Record the call and inject the faults that precede its handling."""
        await request.get_data()
        self.calls.append(f'{request.method} {request.full_path}')
        if self.faults.delay:
            await trio.sleep(self.faults.delay)
        if self.faults.refuse_with:
            return Response('refused\n', status=self.faults.refuse_with)
        return None

    async def after(self, response: Response) -> Response:
        """Add the era of the store and the texts of values to each answer."""
        if self.text_by_value:
            body = await response.get_data(as_text=True)
            for value, text in self.text_by_value.items():
                body = body.replace(f'"{value}"', text)
            response.set_data(body)
        if self.era is not None:
            response.headers['Store-Era'] = str(self.era)
        return response

    async def list_or_watch(self, kind: str):
        """Answer with a page of a kind's objects, or with its changes for a watch."""
        if 'watch' in request.args:
            return await self._watch(kind)
        # Names may have bytes that are no text.
        query = parse_qs(request.query_string.decode(), errors='surrogateescape')
        after = query.get('after', [''])[0]
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
        is_unknown = self.answers_gone and since > self.revision
        return since < self.dropped_until or is_unknown

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
        """Create an object; answer 409 if the name exists."""
        body = await request.get_json()
        name = body['metadata']['name']
        if (kind, name) in self.item_by_key:
            return jsonify(self.item_by_key[kind, name]), 409
        return self._answer(self.put(kind, name, body['spec']))

    async def replace(self, kind: str, name: str):
        """Replace an object's content; keep the revision if the content is equal."""
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
        """Delete an object; answer 409 if a given revision is not the current one."""
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
    """Serve the object store until cancelled, on a free port if `port` is 0."""
    sock = trio.socket.socket()
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    await sock.bind(('127.0.0.1', port))
    sock.listen(64)
    on_ready(sock.getsockname()[1])
    config = Config()
    # Hypercorn creates its own socket from the descriptor. If both sockets were closed,
    # the second close would hit an unrelated file that reuses the descriptor.
    config.bind = [f'fd://{sock.detach()}']
    config.loglevel = 'WARNING'
    await serve(standin.make_app(), config, shutdown_trigger=trio.sleep_forever)
