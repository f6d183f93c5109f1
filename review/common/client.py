"""Clients, by PROTOCOL.md: one request on a new channel."""

import asyncio
import itertools
import time
import uuid

from http_ import read_chunk, read_head

HOST = "studio.example"
_numbers = itertools.count()


class Answer:
    def __init__(self, attempt, status=None):
        self.id, self.status = attempt, status
        self.headers, self.events, self.body = {}, [], b""
        self.whole = False
        self.sent = time.monotonic()
        self.took = None


async def send(record, port, path, key, tokens=None, segment=None, deadline_ms=8000, after=None,
               method="POST", resumes=None, body=b"a prompt", attempt=None, host=HOST):
    """Sends a request and reads its answer. `tokens`: prompt tokens and most output tokens."""
    attempt = attempt or uuid.uuid4().hex[:16]
    answer = Answer(attempt)
    headers = {"Host": host, "X-Peridotslip-Attempt-Id": attempt,
               "X-Peridotslip-Deadline-Ms": str(deadline_ms),
               "Authorization": f"Bearer {key}", "Content-Length": str(len(body))}
    if tokens:
        headers["X-Peridotslip-Model"] = "m"
        headers["X-Peridotslip-Token-Usage"] = "%d,%d" % tokens
        headers["X-Peridotslip-Prompt-Prefix"] = f"{segment or next(_numbers) + 4096:x}:{tokens[0]}"
    if after is not None:
        headers["Last-Event-Id"] = str(after)
    if resumes is not None:
        headers["Resumes"] = resumes
    record.write(f"client sends {attempt} {method} {path} tokens {tokens} to port {port}")
    try:
        await asyncio.wait_for(_exchange(answer, port, method, path, headers, body), deadline_ms / 1000)
    except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError, ValueError) as err:
        record.write(f"client's {attempt} fails: {type(err).__name__}")
    answer.took = time.monotonic() - answer.sent
    record.write(f"client gets {attempt}: status {answer.status}, {len(answer.events)} events,"
                 f" whole {answer.whole}, {answer.took:.3f} s")
    return answer


async def _exchange(answer, port, method, path, headers, body):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("no answer")
        answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
        if answer.headers.get("transfer-encoding") == "chunked":
            rest = b""
            while chunk := await read_chunk(reader):
                answer.body += chunk
                rest += chunk
                while b"\n\n" in rest:
                    event, rest = rest.split(b"\n\n", 1)
                    answer.events.append(event)
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
        answer.whole = True
    finally:
        writer.transport.abort()


async def is_ready(port):
    """Asks a router whether it is ready, as the platform does."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
    except (OSError, asyncio.TimeoutError):
        return False
    try:
        writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
        head = await asyncio.wait_for(read_head(reader), 1)
        return head is not None and head[0].split(" ")[1] == "200"
    except (OSError, asyncio.TimeoutError, ConnectionError):
        return False
    finally:
        writer.transport.abort()


async def wait_ready(routers, limit_s=15):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if all([await is_ready(router.ready) for router in routers]):
            return True
        await asyncio.sleep(0.1)
    return False
