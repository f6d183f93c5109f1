"""A stand-in of an engine, by PROTOCOL.md."""

import asyncio
import time

from http_ import read_request, response

HEARTBEAT_S = 1.2


class Run:
    """One run of a request at an engine."""

    def __init__(self, engine, request):
        self.engine = engine
        self.id = request.get("x-peridotslip-attempt-id", "")
        self.tenant = request.get("x-peridotslip-tenant", "")
        self.after = request.get("last-event-id")
        bounds = request.get("x-peridotslip-token-usage", "0,0").split(",")
        self.prompt, self.most_output = int(bounds[0]), int(bounds[1])
        self.began = time.monotonic()
        self.ended = None
        self.how = "running"


class Engine:
    """An engine of a service. `first_s` and `gap_s` are the times to the first event and between events."""

    def __init__(self, store, record, name, service, zone, slots=8, first_s=0.05, gap_s=0.02,
                 work_s=0.03, stride=3, version="1"):
        self.store, self.record = store, record
        self.id, self.service, self.zone, self.slots = name, service, zone, slots
        self.first_s, self.gap_s, self.work_s, self.stride = first_s, gap_s, work_s, stride
        self.version = version
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.factor = 1.0         # how many times as long work takes
        self.is_mute = None       # returns whether a run sends nothing from now on
        self.refuses = None       # returns whether an arrival is refused
        self.fails = None         # returns whether a run ends with status 500
        self.arrivals = []        # (time, id, ran)
        self.runs = []
        self.state = "ready"
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        await self.report()
        self.heart = asyncio.create_task(self.beat())
        return self

    async def report(self):
        self.seq += 1
        await self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "cold-left-ms": 0, "seq": self.seq, "born": self.born,
        })

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.store.away:
                await self.report()

    def running(self):
        return [run for run in self.runs if run.ended is None]

    def load(self):
        return {"X-Peridotslip-Engine-Load": f"{len(self.running())},0,{self.slots}"}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def handle(self, request, reader, writer):
        attempt = request.get("x-peridotslip-attempt-id")
        echo = {"X-Peridotslip-Attempt-Id": attempt, **self.load()}
        expected = request.get("x-peridotslip-expect-instance")
        if expected not in (None, self.id):
            writer.write(response(421, {**echo, "X-Peridotslip-Instance-Id": self.id}))
            return True
        if self.refuses is not None and self.refuses():
            self.arrivals.append((time.monotonic(), attempt, False))
            self.record.write(f"engine {self.id} refuses {attempt}")
            writer.write(response(503, {**echo, "X-Peridotslip-Not-Executed": "1"}))
            return True
        self.arrivals.append((time.monotonic(), attempt, True))
        run = Run(self, request)
        self.runs.append(run)
        self.record.write(f"engine {self.id} runs {attempt} after {run.after}")
        closed = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(self.work(run, request, writer, echo))
        try:
            await asyncio.wait({closed, work}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            run.ended = time.monotonic()
            if not work.done():
                work.cancel()
                run.how = "channel closed"
            elif work.exception() is not None:
                run.how = "channel closed"
            self.record.write(f"engine {self.id} ends {attempt}: {run.how}")
            closed.cancel()
            await asyncio.gather(closed, work, return_exceptions=True)
        return run.how == "answered"

    async def pause(self, seconds):
        await asyncio.sleep(seconds * self.factor)

    async def silence(self, run):
        """Works on without sending anything, as a mute engine does, until the channel closes."""
        if self.is_mute is not None and self.is_mute(run):
            run.how = "mute"
            await asyncio.sleep(3600)

    async def work(self, run, request, writer, echo):
        seal = {**echo, "X-Peridotslip-Engine-Seal": f"seal-{self.id}-{run.id}"}
        if self.fails is not None and self.fails(run):
            await self.pause(self.work_s)
            writer.write(response(500, seal))
            run.how = "answered"
            return
        if not request.get("x-peridotslip-token-usage"):
            await self.pause(self.work_s)
            await self.silence(run)
            writer.write(response(200, seal, b"done " + run.id.encode()))
            await writer.drain()
            run.how = "answered"
            return
        await self.pause(self.first_s)
        head = {**seal, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(run.after) + 1 if run.after is not None else 1
        events = -(-run.most_output // self.stride)
        for number in range(first, events + 1):
            if number > first:
                await self.pause(self.gap_s)
            run.number = number
            await self.silence(run)
            event = f"id: {number}\ndata: part {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.how = "answered"
