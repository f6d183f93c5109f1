"""A stand-in of the platform's metadata store, by PROTOCOL.md and the fifth letter."""

import asyncio
import base64
import copy
import json
from urllib.parse import parse_qs, urlsplit

from http_ import read_request, response

PAGE = 500
VALUE_BYTES = 1_048_576  # value-bytes of the settings
ANSWER_S = 0.004


class Store:
    def __init__(self, era=0):
        self.revision = 1
        self.items = {}      # key: (value, revision, created)
        self.history = []    # (revision, key, value or None)
        self.oldest = 0      # changes up to this revision are no longer known
        self.era = era       # rises by one with each restore
        self.away = False    # gives no answers
        self.changed = asyncio.Condition()
        self.copy_state = None
        self.server = None
        self.writers = set()
        self.refused_values = 0  # writes of values that are too long

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def put(self, key, value):
        """Writes a key like the operator or an engine."""
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        async with self.changed:
            self._put(key, value)
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            if key in self.items:
                self.revision += 1
                del self.items[key]
                self.history.append((self.revision, key, None))
                self.changed.notify_all()

    def _put(self, key, value):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created)
        self.history.append((self.revision, key, value))

    def copy(self):
        """Makes the copy to which a restore returns."""
        self.copy_state = (self.revision, copy.copy(self.items), list(self.history), self.oldest)

    async def restore(self):
        """Comes back from the copy: revisions go back, and waiting calls are cut."""
        self.revision, items, history, self.oldest = self.copy_state
        self.items, self.history = copy.copy(items), list(history)
        self.era += 1
        for writer in list(self.writers):
            writer.transport.abort()
        async with self.changed:
            self.changed.notify_all()

    def set_away(self, away):
        """Lets the store be away: open channels are reset and new ones get no answer."""
        self.away = away
        if away:
            for writer in list(self.writers):
                writer.transport.abort()

    def value(self, key):
        item = self.items.get(key)
        return item and item[0]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if self.away:
                    break
                await asyncio.sleep(ANSWER_S)
                status, body = await self.answer(request)
                if self.away:
                    break
                headers = {"Content-Type": "application/json", "Store-Era": self.era}
                writer.write(response(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    @staticmethod
    def wire(key, item):
        value, revision, created = item
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease": 0}

    async def answer(self, request):
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current-rev": self.revision}
            return 200, {**self.wire(query["key"], item), "current-rev": self.revision}
        if parts.path == "/api/kv-range":
            prefix, after = query["path-prefix"], query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.wire(key, self.items[key]) for key in keys[:PAGE]]
            return 200, {"items": items, "has-more": len(keys) > PAGE, "current-rev": self.revision}
        if parts.path == "/api/kv-watch":
            return await self.watch(query)
        if parts.path == "/api/kv-txn":
            return await self.transact(json.loads(request.body))
        if parts.path == "/api/kv-lease":
            return 200, {"lease": 1, "ttl-ms": json.loads(request.body)["ttl-ms"]}
        return 200, {}

    async def watch(self, query):
        prefix, after = query["path-prefix"], int(query["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("wait-ms", 0)) / 1000
        while True:
            if after > self.revision or after < self.oldest:
                return 410, {"current-rev": self.revision}
            found = [event for event in self.history
                     if event[0] > after and event[1].startswith(prefix)]
            if found or loop.time() >= until:
                events = []
                for revision, key, value in found:
                    if value is None:
                        events.append({"key": key, "revision": revision, "tombstone": True})
                    else:
                        events.append(self.wire(key, (value, revision, revision)))
                return 200, {"events": events, "current-rev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.0, until - loop.time()))
                except asyncio.TimeoutError:
                    pass

    async def transact(self, call):
        for row in call["expected-rev"]:
            item = self.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                items = []
                for other in call["expected-rev"]:
                    known = self.items.get(other["key"])
                    items.append(self.wire(other["key"], known) if known else
                                 {"key": other["key"], "value": None, "revision": 0})
                return 412, {"items": items, "current-rev": self.revision}
        if any(len(base64.b64decode(put["value"])) > VALUE_BYTES for put in call["puts"]):
            self.refused_values += 1
            return 413, {"current-rev": self.revision}
        async with self.changed:
            for put in call["puts"]:
                self._put(put["key"], base64.b64decode(put["value"]))
            for key in call["remove"]:
                if key in self.items:
                    self.revision += 1
                    del self.items[key]
                    self.history.append((self.revision, key, None))
            self.changed.notify_all()
        return 200, {"revision": self.revision}
