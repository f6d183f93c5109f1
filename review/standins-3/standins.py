"""Stand-ins of the platform for scripts of this review: the metadata store, backend
servers, a TCP proxy and a caller. All of them listen on loopback addresses only."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import time
import traceback
from urllib.parse import parse_qs

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# The fields that the platform fills into the template: those of highstreet-vacancy, with
# one zone.
FIELDS = {
    "ip": "127.0.0.1",
    "zones": {"z1": "r1"},
    "limits": {"cpu-share": 0.25, "memory-mb": 110, "max-fds": 4100, "link-mbps": 1000.0},
    "bounds": {"grace-s": 8, "config-apply-ms": 2000, "retry-budget-ratio": 0.2,
               "retry-budget-slack": 54},
    "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                  "tenants", "platform"],
}


def lookup(fields, path):
    for part in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)]
        else:
            fields = fields.get(part) if isinstance(fields, dict) else None
        if fields is None:
            return None
    return fields


def render(template, fields):
    """Renders a settings template: values, values as JSON, and sections that are present."""

    def section(match):
        present = lookup(fields, match.group(1)) not in (None, False, [], {})
        return match.group(2) if present else ""

    text = re.sub(r"\{\{#([^}]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)

    def value(match):
        found = lookup(fields, match.group(1))
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([^}|]+)(\|json)?\}\}", value, text)


USED_PORTS = set()


def free_ports(count=4):
    """Returns ports below the range of ephemeral ports that nobody listens on, different
    ones at each call."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 28000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            found.append(port)
    return found


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    @property
    def path(self):
        return self.target.split("?", 1)[0]

    @property
    def query(self):
        parts = self.target.split("?", 1)
        return {k: v[0] for k, v in parse_qs(parts[1], keep_blank_values=True).items()} if len(parts) > 1 else {}


async def read_head(reader):
    """Reads a head. Returns its first line and its headers in lower case, or None."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body. Raises an error if it breaks off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    body = b""
    try:
        if "chunked" in head[1].get("transfer-encoding", ""):
            async for chunk in read_chunks(reader):
                body += chunk
        else:
            body = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.items, self.revision, self.history = {}, 10, []
        self.era, self.down = 1, False
        self.changed = asyncio.Event()
        self.oldest = 0
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key, value):
        """Writes a value as the operator or a server does."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created": created, "lease": 0}
        self.items[key] = item
        self.history.append((self.revision, item))
        self._notify()

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append((self.revision, {"key": key, "revision": self.revision, "tombstone": True}))
        self._notify()

    def snapshot(self):
        return dict(self.items), self.revision

    def restore(self, copy):
        """Comes back from an older copy."""
        self.items, self.revision = dict(copy[0]), copy[1]
        self.history, self.oldest = [], self.revision
        self.era += 1
        self.drop_connections()
        self._notify()

    def set_down(self, down):
        self.down = down
        if down:
            self.drop_connections()

    def drop_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while not self.down:
                request = await read_request(reader)
                if request is None or self.down:
                    break
                status, body = await self.handle(request)
                if self.down:
                    break
                headers = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                writer.write(response(status, json.dumps(body).encode(), headers))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def handle(self, request):
        path, query = request.path, request.query
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"error": "no such key", "current-rev": self.revision}
            return 200, dict(item, **{"current-rev": self.revision})
        if path == "/api/kv-range":
            prefix, after = query.get("path-prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[k] for k in keys[:50]]
            return 200, {"items": page, "has-more": len(keys) > 50, "current-rev": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            return self.transact(json.loads(request.body))
        return 404, {"error": "no such call"}

    async def watch(self, query):
        prefix, after = query["path-prefix"], int(query["after"])
        deadline = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        era = self.era
        while True:
            if self.era != era or after < self.oldest or after > self.revision:
                return 410, {"error": "gone"}
            events = [e for r, e in self.history if r > after and e["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, txn):
        current = []
        wrong = False
        for row in txn.get("expected-rev", []):
            item = self.items.get(row["key"])
            revision = item["revision"] if item else 0
            wrong |= revision != row["revision"]
            current.append(item or {"key": row["key"], "revision": 0})
        if wrong:
            return 412, {"items": current, "current-rev": self.revision}
        for put in txn.get("puts", []):
            self.write(put["key"], base64.b64decode(put["value"]))
        for key in txn.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Server:
    """A backend server. `behave` decides what happens to a request."""

    def __init__(self, store, name, service, zone="z1", version="v1", slots=64):
        self.store, self.id, self.service, self.zone = store, name, service, zone
        self.version, self.slots, self.state, self.seq = version, slots, "ready", 0
        self.born = int(time.time() * 1000)
        self.runs, self.arrivals = [], []
        self.behave = None
        self.registered = True
        self.active = 0
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat()
        self.beats = asyncio.create_task(self.heartbeat())

    def beat(self):
        if not self.registered or self.store.down:
            return
        self.seq += 1
        self.store.write(f"servers/{self.id}", {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "cold-left-ms": 0, "seq": self.seq, "born": self.born})

    async def heartbeat(self):
        while True:
            await asyncio.sleep(1.2)
            self.beat()

    def crash(self):
        """Ends at once. Its entry stays until it is removed."""
        self.registered = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                await self.answer(request, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    def headers(self, request):
        return [("X-Peridotslip-Attempt-Id", request.headers.get("x-peridotslip-attempt-id", "")),
                ("X-Peridotslip-Engine-Load", f"{self.active},0,{self.slots}")]

    async def answer(self, request, reader, writer):
        attempt = request.headers.get("x-peridotslip-attempt-id", "")
        expected = request.headers.get("x-peridotslip-expect-instance")
        headers = self.headers(request)
        self.arrivals.append((time.monotonic(), attempt, request))
        if expected not in (None, self.id):
            writer.write(response(421, b"", headers + [("X-Peridotslip-Not-Executed", "1")]))
            return
        self.active += 1
        try:
            await self.behave(self, request, headers, writer)
        finally:
            self.active -= 1


SEAL = ("X-Peridotslip-Engine-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")


async def start_stream(writer, headers):
    lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in headers + [SEAL]]
    lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
    writer.write("\r\n".join(lines).encode())


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number, text):
    return f"id: {number}\ndata: {text}\n\n".encode()


class Proxy:
    """Passes connections on. `cut`: they stand still; `refuse`: they are reset."""

    def __init__(self, target_port):
        self.target, self.cut, self.refuse = target_port, False, False
        self.open = asyncio.Event()
        self.open.set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def set_cut(self, cut):
        (self.open.clear if cut else self.open.set)()

    def set_refuse(self, refuse):
        self.refuse = refuse
        if refuse:
            for writer in list(self.writers):
                writer.transport.abort()

    async def serve(self, reader, writer):
        if self.refuse:
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        await asyncio.gather(self.pump(reader, up_writer), self.pump(up_reader, writer))
        self.writers -= {writer, up_writer}

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.transport.abort() if self.refuse else writer.close()


class Router:
    """A router process, started with the command of the deploy file and with settings
    rendered from the template that the deploy file names."""

    def __init__(self, folder, name, store_port, zone="z1", **changes):
        self.folder, self.name = folder, name
        self.callers, self.ready, self.peers, self.metrics = free_ports()
        self.settings = os.path.join(folder, f"{name}.yaml")
        self.process, self.starts = None, 0
        fields = dict(FIELDS, node=name, zone=zone, platform={"address": f"127.0.0.1:{store_port}"})
        fields["port-range"] = [self.peers, self.metrics]
        fields["listen"] = {"front": f"127.0.0.1:{self.callers}", "ready": f"127.0.0.1:{self.ready}"}
        fields.update(changes)
        with open(os.path.join(ROOT, "deploy/router.yaml.tmpl")) as f:
            template = f.read()
        with open(self.settings, "w") as f:
            f.write(render(template, fields))

    def start(self):
        self.starts += 1
        self.log = open(os.path.join(self.folder, f"{self.name}-{self.starts}.log"), "wb")
        command = [os.path.join(ROOT, "target/release/peridotslipd"), "--edge", self.settings]
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=self.log, stderr=subprocess.STDOUT,
                                        env={"PATH": os.environ.get("PATH", "")})

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()

    async def wait_ready(self, timeout=15):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.events = None, {}, b"", 0
        self.complete, self.error = False, None
        self.sent, self.ended = None, None


async def call(port, method, path, headers, body=b"", timeout=10.0, connection=None, keep=False):
    """Sends one request to a router and reads the answer."""
    answer = Answer()
    writer = None
    try:
        if connection is None:
            connection = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
        reader, writer = connection
        lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        answer.sent = time.monotonic()
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await asyncio.wait_for(read_answer(reader, answer), timeout)
    except asyncio.TimeoutError:
        answer.error = "timeout"
    except (OSError, asyncio.IncompleteReadError, ValueError) as err:
        answer.error = type(err).__name__
    finally:
        answer.ended = time.monotonic()
        if writer is not None and not (keep and answer.complete):
            writer.transport.abort()
    return answer


async def read_answer(reader, answer):
    head = await read_head(reader)
    if head is None:
        raise ConnectionError("closed")
    answer.status = int(head[0].split(" ")[1])
    answer.headers = head[1]
    if "chunked" in head[1].get("transfer-encoding", ""):
        async for data in read_chunks(reader):
            answer.body += data
            answer.events = answer.body.count(b"\n\n")
    else:
        answer.body = await reader.readexactly(int(head[1].get("content-length", "0")))
    answer.complete = True


def run(case):
    """Runs a case and ends the process with its status, without waiting for open
    connections."""

    async def run_and_exit():
        try:
            status = await case
        except Exception:
            traceback.print_exc()
            status = 2
        sys.stdout.flush()
        os._exit(status)

    asyncio.run(run_and_exit())
