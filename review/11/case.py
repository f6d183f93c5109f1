"""A machine is taken out of service as planned. Later the platform's store comes back from
a copy that is some seconds old. All that the tenants have paid for and not spent is gone."""

import asyncio
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standins-3"))
from standins import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))

TENANTS = 3
PREPAID = 2_000_000
PROMPT, OUTPUT, STRIDE = 600, 150, 3
RATE = 12  # Requests a second, 750 tokens each: 0.15% a second of what each tenant has paid.
REMOVED_AT_S, DRILL_AT_S, FAULT_AT_S = 4.0, 16.0, 26.0
AWAY_S, COPY_AGE_S = 0.5, 3.0
DOWN_S, MOST_DOWN_S = 0.5, 1.5
RECOVERY_S, OBSERVED_S = 12.0, 6.0  # recovery-s


def config():
    route = {"name": "digest", "host": "a.example", "path-prefix": "/digest/", "kind": "streaming",
             "service": "model", "timeout-ms": 8000, "target-latency-ms": 1000, "priority": 1,
             "max-attempts": 2, "public": False, "sticky": True, "resumable": True,
             "gap-target-ms": 400}
    model = {"name": "model", "health-path": "/healthz", "max-conns": 620,
             "engine": {"slots": 128, "kv-capacity": 190974, "stride": 3}}
    limits = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
              "idle-timeout-ms": 15000}
    tenants = [{"name": f"t{i}", "api-keys": [f"key{i}"], "prepaid": PREPAID} for i in range(TENANTS)]
    return {"version": 7, "routes": [route], "services": [model], "limits": limits, "tenants": tenants}


async def generate(server, request, headers, writer):
    server.runs.append((time.monotonic(), request.headers["x-peridotslip-attempt-id"]))
    first = int(request.headers.get("last-event-id", "0")) + 1
    await start_stream(writer, headers)
    for number in range(first, OUTPUT // STRIDE + 1):
        writer.write(chunk(event(number, "words " * STRIDE)))
        await writer.drain()
        await asyncio.sleep(0.005)
    writer.write(b"0\r\n\r\n")


async def start_engine(store, name, version):
    engine = Server(store, name, "model", version=version, slots=128)
    engine.behave = generate
    await engine.start()
    return engine


async def drill(store, copy, engines):
    """Takes the store away for a moment. It comes back from a copy; the operator and the
    engines write again what they wrote."""
    store.set_down(True)
    await asyncio.sleep(AWAY_S)
    store.set_down(False)
    store.restore(copy)
    store.write("op/config", config())
    for engine in engines:
        engine.beat()


async def send(router, tenant, attempt, sent):
    headers = [("Host", "a.example"), ("X-Peridotslip-Attempt-Id", attempt),
               ("X-Peridotslip-Deadline-Ms", "8000"), ("Authorization", f"Bearer key{tenant}"),
               ("X-Peridotslip-Model", "m"), ("X-Peridotslip-Token-Usage", f"{PROMPT},{OUTPUT}"),
               ("X-Peridotslip-Prompt-Prefix", f"5c1e07a2:400,{attempt[-8:]}:200")]
    answer = await call(router.callers, "POST", "/digest/a", headers, b"x" * 1000, 9)
    sent.append((attempt, router.name, answer))


async def traffic(in_rotation, end, sent):
    number, tasks = 0, []
    while time.monotonic() < end:
        router = in_rotation[number % len(in_rotation)]
        tasks.append(asyncio.create_task(send(router, number // 3 % TENANTS, f"{number:016x}", sent)))
        number += 1
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)


async def main():
    with tempfile.TemporaryDirectory() as folder:
        store = Store()
        await store.start()
        engines = [await start_engine(store, f"i-{n}", "v1") for n in range(3)]
        store.write("op/config", config())
        routers = [Router(folder, f"edge-{n}", store.port) for n in range(3)]
        try:
            for router in routers:
                router.start()
            if not all([await router.wait_ready() for router in routers]):
                print("the routers did not become ready")
                return 2
            return await play(store, engines, routers)
        finally:
            for router in routers:
                router.kill()


async def play(store, engines, routers):
    began, sent, in_rotation = time.monotonic(), [], list(routers)
    end = began + FAULT_AT_S + MOST_DOWN_S + RECOVERY_S + OBSERVED_S
    running = asyncio.create_task(traffic(in_rotation, end, sent))

    async def at(second):
        await asyncio.sleep(max(0, began + second - time.monotonic()))

    await at(REMOVED_AT_S)
    routers[2].signal(signal.SIGTERM)
    del in_rotation[2]
    await at(DRILL_AT_S - COPY_AGE_S)
    if routers[2].process.poll() is None:
        print("the removed router did not end")
        return 2
    copy = store.snapshot()
    await at(DRILL_AT_S)
    if TROUBLE:
        await drill(store, copy, engines)
    await at(FAULT_AT_S)
    fault = time.monotonic()
    for router in in_rotation:
        router.kill()
    await asyncio.sleep(DOWN_S)
    for router in in_rotation:
        router.start()
    if not all([await router.wait_ready() for router in in_rotation]):
        print("the routers did not come back")
        return 2
    back = time.monotonic()
    await running
    return judge(engines, sent, began, fault, back)


def share(answers):
    return sum(a.complete and a.status == 200 for a in answers) / len(answers) if answers else 0.0


def judge(engines, sent, began, fault, back):
    answers = [a for _, _, a in sent if a.sent]
    before = [a for a in answers if a.sent < fault]
    later = [a for a in answers if a.sent > back + RECOVERY_S]
    with open(os.path.join(HERE, "record.txt"), "w") as f:
        f.write(f"drill at {DRILL_AT_S} s: {TROUBLE}; fault at {fault - began:.3f} s, back at {back - began:.3f} s\n")
        f.write("sent: second, attempt, router, status, events, complete, body of a refusal\n")
        for attempt, name, a in sorted(sent, key=lambda row: row[0]):
            reason = a.body[:40] if a.status != 200 else b""
            f.write(f"{(a.sent or 0) - began:.3f} {attempt} {name} {a.status} {a.events} {a.complete} {reason!r}\n")
        f.write("run: second, attempt, engine\n")
        for engine in engines:
            for at, attempt in engine.runs:
                f.write(f"{at - began:.3f} {attempt} {engine.id}\n")
    attempts = {attempt for engine in engines for _, attempt in engine.runs}
    most = len(attempts) * (PROMPT + OUTPUT)
    print(f"all tenants got {most} tokens at the most, of {TENANTS * PREPAID} prepaid")
    print(f"before the final fault: {len(before)} sent, served {share(before):.3f}")
    print(f"later than recovery-s after the machines were back: {len(later)} sent, "
          f"served {share(later):.3f}; the least is 0.25")
    if not later or share(before) < 0.25:
        return 2
    return 10 if share(later) < 0.25 else 0


run(main())
