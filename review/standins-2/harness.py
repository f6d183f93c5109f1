"""Stand-ins of the platform for the scripts of the second review.

The store, the engines and the clients speak what PROTOCOL.md says. Everything
listens on loopback addresses. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
ROUTER = ROOT / "target/release/peridotslipd"
T0 = time.monotonic()


def now():
    """Returns the seconds since the script started."""
    return time.monotonic() - T0


class CannotRun(Exception):
    """The case can't run; exit code 2."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{now():8.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(f"{now():8.3f} {text}", flush=True)

    def close(self):
        self.file.close()


_ports = []


def free_port():
    """Returns a free port. All ports of a script are reserved until it listens."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    port = sock.getsockname()[1]
    sock.close()
    if port in _ports:
        return free_port()
    _ports.append(port)
    return port


async def read_head(reader):
    """Returns the first line and the headers, with names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the whole body of a request."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


class Store:
    """The platform's metadata store."""

    ANSWER_S = 0.004

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.calls = 0

    async def start(self):
        self.port = free_port()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.address = f"127.0.0.1:{self.port}"

    def put(self, key, value):
        """Writes a value. Returns the revision."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self._record(item)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "tombstone": True})

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def _record(self, event):
        self.history.append(event)
        event_set, self.changed = self.changed, asyncio.Event()
        event_set.set()

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                self.calls += 1
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                status, reply = await self._call(method, url.path, query, body)
                await asyncio.sleep(self.ANSWER_S)
                data = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} Any\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _call(self, method, path, query, body):
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current-rev": self.revision}
            return 200, {**item, "current-rev": self.revision}
        if path == "/api/kv-range":
            prefix, after = query["path-prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[k] for k in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": page, "has-more": more, "current-rev": self.revision}
        if path == "/api/kv-watch":
            return 200, await self._watch(query)
        if path == "/api/kv-txn":
            return self._transact(json.loads(body))
        return 404, {}

    async def _watch(self, query):
        prefix, after = query["path-prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            changed = self.changed
            events = [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, txn):
        expected = txn.get("expected-rev", [])
        current = [self.items.get(e["key"]) for e in expected]
        for entry, item in zip(expected, current):
            if entry["revision"] != (item["revision"] if item else 0):
                missing = {"revision": 0, "value": None}
                found = [
                    item or {"key": e["key"], **missing}
                    for e, item in zip(expected, current)
                ]
                return 412, {"items": found}
        for put in txn.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]))
        for key in txn.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Engine:
    """An engine. `events` of a stream come every `gap_s` seconds."""

    def __init__(self, record, store, service, name, slots=128, events=4, gap_s=0.05):
        self.record, self.store = record, store
        self.service, self.id, self.slots = service, name, slots
        self.events, self.gap_s = events, gap_s
        self.state, self.seq = "ready", 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.running = 0

    async def start(self):
        self.port = free_port()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.address = f"127.0.0.1:{self.port}"
        self.beat = asyncio.create_task(self._beat())

    def write_entry(self):
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self.answer(line, headers, body, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body, reader, writer):
        """Answers a request. Returns whether the channel stays open."""
        attempt = headers.get("x-peridotslip-attempt-id", "")
        if headers.get("x-peridotslip-expect-instance", self.id) != self.id:
            writer.write(
                f"HTTP/1.1 421 Any\r\nX-Peridotslip-Instance-Id: {self.id}\r\n"
                f"X-Peridotslip-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        self.runs.append(attempt)
        self.record.line(f"{self.id} runs {attempt}")
        self.running += 1
        try:
            if "x-peridotslip-token-usage" in headers:
                return await self.stream(headers, attempt, reader, writer)
            return await self.plain(headers, attempt, writer)
        finally:
            self.running -= 1

    def head(self, attempt):
        load = f"{self.running},0,{self.slots}"
        return (
            f"HTTP/1.1 200 OK\r\nX-Peridotslip-Attempt-Id: {attempt}\r\n"
            f"X-Peridotslip-Engine-Seal: seal.{attempt}\r\n"
            f"X-Peridotslip-Engine-Load: {load}\r\n"
        )

    async def plain(self, headers, attempt, writer):
        await asyncio.sleep(0.02)
        body = f"done {attempt}".encode()
        writer.write(f"{self.head(attempt)}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return True

    async def stream(self, headers, attempt, reader, writer):
        first = int(headers.get("last-event-id", "0")) + 1
        writer.write(
            f"{self.head(attempt)}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Answer:
    """What a client got. `status` is None if the channel ended without a head."""

    def __init__(self):
        self.status, self.headers, self.body = None, {}, b""
        self.complete, self.end = False, ""
        self.sent = self.ended = None


async def request(port, attempt, path, headers, body=b"", method="POST", timeout_s=15.0):
    """Sends a request on a new channel and reads the answer."""
    answer = Answer()
    answer.sent = now()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"{method} {path} HTTP/1.1", "Host: site.example"]
            lines += [f"X-Peridotslip-Attempt-Id: {attempt}"]
            lines += [f"{k}: {v}" for k, v in headers.items()]
            lines += [f"Content-Length: {len(body)}"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            answer.sent = now()
            line, answer.headers = await read_head(reader)
            answer.status = int(line.split(" ")[1])
            answer.body = await read_body(reader, answer.headers)
            answer.complete = True
            answer.end = "whole"
    except TimeoutError:
        answer.end = "the client's deadline passed"
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as err:
        answer.end = f"channel ended: {type(err).__name__}"
    finally:
        answer.ended = now()
        if writer:
            writer.close()
    return answer


SETTINGS = """vm: "{vm}"
data_centre: "zone-a"
listen:
  callers: "127.0.0.1:{callers}"
  ready: "127.0.0.1:{ready}"
  peers: "127.0.0.1:{peers}"
  metrics: "127.0.0.1:{metrics}"
vm_size:
  cores: 0.25
  link_mbps: 1000.0

  memory_mb: 260


  max_fds: 4100

store: "{store}"
timing:
  grace_ms: 8000

  table_apply_ms: 2000

retries:
  ratio: 0.2
  allowance: 58
regions: {{"zone-a":"region-a"}}
platform_features: ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]


admission:
  link_share: 0.85
  fair_shares: true
origins:
  store_interval_ms: 500
"""


class RouterProcess:
    """A router, with settings as deploy/router.yaml.tmpl renders them."""

    def __init__(self, record, store, vm, folder):
        self.record, self.vm = record, vm
        self.callers, self.ready = free_port(), free_port()
        self.peers, self.metrics = free_port(), free_port()
        self.settings = Path(folder) / f"{vm}.yaml"
        self.log = Path(folder) / f"{vm}.log"
        self.settings.write_text(
            SETTINGS.format(
                vm=vm,
                callers=self.callers,
                ready=self.ready,
                peers=self.peers,
                metrics=self.metrics,
                store=store.address,
            )
        )
        self.process = None

    def start(self):
        out = open(self.log, "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.process = subprocess.Popen(
            [str(ROUTER), "--edge", str(self.settings)],
            cwd=ROOT, stdin=subprocess.DEVNULL, stdout=out, stderr=out, env=env,
        )
        out.close()
        self.record.line(f"{self.vm} started")

    def signal(self, number):
        self.record.say(f"{self.vm} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        answer = await request(self.ready, "check", "/api/readyz", {}, method="GET", timeout_s=1.0)
        return answer.status == 200

    def logged(self, message):
        """Returns the attributes of the log lines with this message."""
        found = []
        if not self.log.exists():
            return found
        for line in self.log.read_text(errors="replace").splitlines():
            if message in line:
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue
                if entry.get("message") == message:
                    found.append(entry.get("attributes", {}))
        return found


async def wait_ready(routers, limit_s=15.0):
    until = now() + limit_s
    for router in routers:
        while not await router.is_ready():
            if now() > until:
                raise CannotRun(f"{router.vm} is not ready")
            await asyncio.sleep(0.05)


def run_case(folder, case):
    """Runs `case(record, temporary folder, trouble)`, which returns whether the rule held."""
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    try:
        if not ROUTER.exists():
            raise CannotRun("the router is not built")
        held = asyncio.run(case(record, temporary, trouble))
        code = 0 if held else 1
        record.say("the rule held" if held else "the rule was broken")
    except CannotRun as err:
        record.say(f"the case could not run: {err}")
    except Exception as err:  # The script itself failed.
        record.say(f"the case could not run: {type(err).__name__}: {err}")
        traceback.print_exc()
    finally:
        record.close()
        if os.environ.get("KEEP"):
            print(f"kept {temporary}")
        else:
            shutil.rmtree(temporary, ignore_errors=True)
        sys.stdout.flush()
    sys.exit(code)


def route(name, prefix, timeout_ms, target_ms=1000):
    """A route for streams of the model service that may be resumed."""
    return {
        "name": name, "host": "site.example", "path-prefix": prefix,
        "kind": "streaming", "timeout-ms": timeout_ms, "target-latency-ms": target_ms,
        "priority": 1, "service": "model", "max-attempts": 2, "public": False,
        "sticky": True, "resumable": True, "gap-target-ms": 400,
    }


def configuration(version, routes, prepaid):
    """A configuration; `prepaid` has the tokens of each tenant."""
    engine = {
        "slots": 128, "kv-capacity": 264876, "kv-bytes": 131072, "link-mbps": 130000.0,
        "moves": True, "backups": True, "stride": 3, "most": 12, "pin-ms": 4000.0,
        "hold-ms": 2000.0, "handle-s": 5.0, "models": [{"name": "m"}],
    }
    return json.dumps({
        "version": version,
        "routes": routes,
        "services": [{
            "name": "model", "health-path": "/healthz", "max-conns": 630,
            "protocol": "h1", "tls": False, "engine": engine,
        }],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 4194304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
        },
        "tenants": [
            {"name": name, "api-keys": [f"key-{name}"], "priority": 1, "prepaid": tokens}
            for name, tokens in prepaid.items()
        ],
    }).encode()


def model_headers(tenant, prompt, output, deadline_ms, number):
    """The headers of a model request."""
    shared = prompt // 2
    return {
        "Authorization": f"Bearer key-{tenant}",
        "X-Peridotslip-Model": "m",
        "X-Peridotslip-Token-Usage": f"{prompt},{output}",
        "X-Peridotslip-Prompt-Prefix": f"5c1e07a2:{shared},{number + 1:x}:{prompt - shared}",
        "X-Peridotslip-Deadline-Ms": str(deadline_ms),
    }


def settled(router, tenant):
    """Returns how many bills of a tenant a router has booked, as its log says."""
    lines = router.logged("grant updated")
    return sum(int(line["settled"]) for line in lines if line["budget"] == tenant)
