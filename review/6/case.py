"""All routers but one lose power; the one that is left must answer in time."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from harness import *  # noqa: E402, F403

TENANT = "tenant-a"
PROMPT, OUTPUT = 700, 240
TIMEOUT_MS, DEADLINE_MS = 4_000, 15_000
RATE = 30  # requests per second, about a third of what the sheets' sites get
WARM_S, LOSS_S = 4.0, 14.0
STABLE_S = 3.0


async def case(record, folder, trouble):
    store = Store()
    await store.start()
    routes = [route("r-1", "/draft/", TIMEOUT_MS)]
    store.put("op/config", configuration(7, routes, {TENANT: 3_000_000}))
    engines = [Engine(record, store, "model", f"i-{n}") for n in range(3)]
    for engine in engines:
        await engine.start()
    routers = [RouterProcess(record, store, f"edge-{n}", folder) for n in range(3)]
    answers = []
    try:
        for router in routers:
            router.start()
        await wait_ready(routers)
        await asyncio.sleep(1.0)
        left, lost_at = None, None
        tasks, number, begin = [], 0, now()

        async def send(number, router):
            headers = model_headers(TENANT, PROMPT, OUTPUT, DEADLINE_MS, number)
            attempt = f"a{number:06d}"
            answer = await request(
                router.callers, attempt, "/draft/x", headers, timeout_s=DEADLINE_MS / 1000
            )
            answers.append((attempt, router, answer))
            record.line(
                f"{attempt} to {router.vm}: sent {answer.sent:.3f}, "
                f"{answer.status or 'no answer'} after {answer.ended - answer.sent:.3f} s, {answer.end}"
            )

        while now() - begin < WARM_S + LOSS_S:
            if left is None and now() - begin >= WARM_S:
                # The router that books the tenant's bills is left.
                left = max(routers, key=lambda router: settled(router, TENANT))
                record.say(f"{left.vm} books the tenant's bills and is left")
                lost_at = now()
                if trouble:
                    for router in routers:
                        if router is not left:
                            router.signal(signal.SIGSTOP)
            router = left or routers[number % 3]
            tasks.append(asyncio.create_task(send(number, router)))
            number += 1
            await asyncio.sleep(max(0.0, begin + number / RATE - now()))
        await asyncio.gather(*tasks)
    finally:
        for router in routers:
            router.end()
    # CONFIG: of the requests that are unanswered at their route's timeout, more than
    # half have no answer half a second later, at machines in touch.
    touched = [a for _, r, a in answers if r is left and a.sent >= lost_at + STABLE_S]
    timeout_s = TIMEOUT_MS / 1000
    late = [a for a in touched if a.ended - a.sent > timeout_s]
    later = [a for a in late if a.ended - a.sent > timeout_s + 0.5]
    statuses = sorted({str(a.status) for a in touched})
    record.say(f"{len(touched)} requests to {left.vm} from 3 s after the loss, answers {statuses}")
    record.say(f"{len(late)} unanswered at the timeout of {timeout_s} s, {len(later)} of them 0.5 s later")
    if not touched:
        raise CannotRun("no requests were sent")
    return len(later) * 2 <= len(late)


run_case(Path(__file__).parent, case)
