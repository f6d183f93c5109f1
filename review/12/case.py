"""A router that owns a tenant's budget is stopped and started again as planned, while
streams that reserved tokens there run at the other routers. All these tokens are gone: later
requests are refused although they fit."""

import asyncio
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standins-3"))
from standins import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))

TENANT = "t2"  # Its budget is owned by edge-0.
PREPAID = 520_000
PROMPT, MOST_OUTPUT, STRIDE = 300, 20_000, 3
STREAMS, EVENTS, PAUSE_S = 24, 65, 0.2
STOP_AT_S, GRACE_S = 1.0, 8.0
FAULT_AT_S, DOWN_S = 28.0, 0.5
RATE, SMALL_EVENTS = 4, 10  # Requests a second with short answers, after the streams.
RECOVERY_S, OBSERVED_S = 12.0, 6.0  # recovery-s
OWED_SHARE = 0.97


def config():
    route = {"name": "query", "host": "a.example", "path-prefix": "/query/", "kind": "streaming",
             "service": "model", "timeout-ms": 15000, "target-latency-ms": 600, "priority": 2,
             "max-attempts": 2, "public": False, "sticky": True, "resumable": True,
             "gap-target-ms": 400}
    model = {"name": "model", "health-path": "/healthz", "max-conns": 620,
             "engine": {"slots": 128, "kv-capacity": 190974, "stride": STRIDE}}
    limits = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
              "idle-timeout-ms": 15000}
    tenants = [{"name": TENANT, "api-keys": ["key0"], "prepaid": PREPAID}]
    return {"version": 7, "routes": [route], "services": [model], "limits": limits, "tenants": tenants}


async def generate(server, request, headers, writer):
    server.runs.append((time.monotonic(), request.headers["x-peridotslip-attempt-id"]))
    first = int(request.headers.get("last-event-id", "0")) + 1
    events = int(request.body.split(b" ")[0])
    await start_stream(writer, headers)
    for number in range(first, events + 1):
        writer.write(chunk(event(number, "words " * STRIDE)))
        await writer.drain()
        await asyncio.sleep(PAUSE_S if events == EVENTS else 0.005)
    writer.write(b"0\r\n\r\n")


async def send(router, attempt, events, sent):
    headers = [("Host", "a.example"), ("X-Peridotslip-Attempt-Id", attempt),
               ("X-Peridotslip-Deadline-Ms", "15000"), ("Authorization", "Bearer key0"),
               ("X-Peridotslip-Model", "m"), ("X-Peridotslip-Token-Usage", f"{PROMPT},{MOST_OUTPUT}"),
               ("X-Peridotslip-Prompt-Prefix", f"5c1e07a2:172,{attempt[-8:]}:128")]
    body = f"{events} events".encode()
    answer = await call(router.callers, "POST", "/query/a", headers, body, 16)
    sent.append((attempt, router.name, answer))
    return answer


def used(engines, sent):
    """Returns what the tenant has got: prompts of requests that ran, and output that was
    delivered."""
    ran = {attempt for engine in engines for _, attempt in engine.runs}
    return sum(PROMPT for attempt in ran) + sum(STRIDE * a.events for _, _, a in sent if a.status == 200)


async def main():
    with tempfile.TemporaryDirectory() as folder:
        store = Store()
        await store.start()
        engines = []
        for number in range(3):
            engine = Server(store, f"i-{number}", "model", slots=128)
            engine.behave = generate
            await engine.start()
            engines.append(engine)
        store.write("op/config", config())
        routers = [Router(folder, f"edge-{n}", store.port) for n in range(3)]
        try:
            for router in routers:
                router.start()
            if not all([await router.wait_ready() for router in routers]):
                print("the routers did not become ready")
                return 2
            await asyncio.sleep(2.0)
            return await play(engines, routers)
        finally:
            for router in routers:
                router.kill()


async def stop_and_start(router):
    """Stops a router as the platform does, and starts it again."""
    router.signal(signal.SIGTERM)
    deadline = time.monotonic() + GRACE_S
    while router.process.poll() is None and time.monotonic() < deadline:
        await asyncio.sleep(0.05)
    if router.process.poll() is None:
        router.kill()
    router.start()
    return await router.wait_ready()


async def play(engines, routers):
    began, sent = time.monotonic(), []
    streams = [asyncio.create_task(send(routers[1 + n % 2], f"{n:016x}", EVENTS, sent)) for n in range(STREAMS)]
    await asyncio.sleep(STOP_AT_S)
    if TROUBLE and not await stop_and_start(routers[0]):
        print("the router did not come back")
        return 2
    await asyncio.gather(*streams)
    whole = sum(a.complete and a.status == 200 for _, _, a in sent)
    calm = asyncio.create_task(small(routers, engines, began + FAULT_AT_S, sent))
    await asyncio.sleep(max(0, began + FAULT_AT_S - time.monotonic()))
    await calm
    fault = time.monotonic()
    for router in routers:
        router.kill()
    await asyncio.sleep(DOWN_S)
    for router in routers:
        router.start()
    if not all([await router.wait_ready() for router in routers]):
        print("the routers did not come back")
        return 2
    back = time.monotonic()
    await small(routers, engines, back + RECOVERY_S + OBSERVED_S, sent)
    write_record(engines, sent, began)
    before = [a for _, _, a in sent if a.sent and a.sent < fault]
    later = [a for _, _, a in sent if a.sent and a.sent > back + RECOVERY_S and a.fits]
    print(f"{whole} of {STREAMS} streams whole; used {used(engines, sent)} of {PREPAID} tokens")
    print(f"before the final fault: {len(before)} sent, served {share(before):.3f}")
    print(f"owed and sent later than recovery-s after the machines were back: {len(later)}, "
          f"served {share(later):.3f}; the least is 0.25")
    if not later or share(before) < 0.25:
        return 2
    return 10 if share(later) < 0.25 else 0


def share(answers):
    return sum(a.complete and a.status == 200 for a in answers) / len(answers) if answers else 0.0


async def small(routers, engines, end, sent):
    """Sends requests with short answers, one after the other."""
    number = len(sent)
    while time.monotonic() < end:
        begun = time.monotonic()
        fits = used(engines, sent) + PROMPT + MOST_OUTPUT <= OWED_SHARE * PREPAID
        answer = await send(routers[number % len(routers)], f"{1000 + number:016x}", SMALL_EVENTS, sent)
        answer.fits = fits
        number += 1
        await asyncio.sleep(max(0, begun + 1 / RATE - time.monotonic()))


def write_record(engines, sent, began):
    with open(os.path.join(HERE, "record.txt"), "w") as f:
        f.write(f"edge-0 stopped at {STOP_AT_S} s: {TROUBLE}\n")
        f.write("sent: second, attempt, router, status, events, complete\n")
        for attempt, name, a in sent:
            f.write(f"{(a.sent or 0) - began:.3f} {attempt} {name} {a.status} {a.events} {a.complete}\n")
        f.write("run: second, attempt, engine\n")
        for engine in engines:
            for at, attempt in engine.runs:
                f.write(f"{at - began:.3f} {attempt} {engine.id}\n")


run(main())
