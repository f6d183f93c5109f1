"""A router is frozen for 4 s; a minute later tokens that nobody used are booked as spent."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from harness import *  # noqa: E402, F403

TENANT = "tenant-a"
PREPAID = 520_000
FREEZE_S = 4.0
RATE = 60  # model requests per second, as on the sheets' sites
PROMPT, OUTPUT = 700, 1_500
LONG_PROMPT, LONG_OUTPUT = 20_000, 300
EVENTS, TOKENS_PER_EVENT = 4, 3
BUSY_SHARE = 0.82  # of the prepaid tokens, used by the busy phase
REST_UNTIL_S = 80.0  # more than a minute after the freeze
LONG_REQUESTS = 60
SETTLE_S = 1.5
FIT = 0.97


class Sent:
    """One request."""

    def __init__(self, attempt, prompt, output):
        self.attempt, self.prompt, self.most = attempt, prompt, prompt + output
        self.sent, self.ended, self.answer = now(), None, None


async def case(record, folder, trouble):
    store = Store()
    await store.start()
    routes = [route("r-1", "/draft/", 8_000)]
    store.put("op/config", configuration(7, routes, {TENANT: PREPAID}))
    engines = [
        Engine(record, store, "model", f"i-{n}", events=EVENTS, gap_s=0.1) for n in range(3)
    ]
    for engine in engines:
        await engine.start()
    routers = [RouterProcess(record, store, f"edge-{n}", folder) for n in range(3)]
    requests = []

    async def send(router, prompt, output):
        sent = Sent(f"a{len(requests):06d}", prompt, output)
        requests.append(sent)
        headers = model_headers(TENANT, prompt, output, 8_000, len(requests))
        sent.answer = await request(
            router.callers, sent.attempt, "/draft/x", headers, timeout_s=8.0
        )
        sent.ended = now()
        record.line(
            f"{sent.attempt} of at most {sent.most} tokens to {router.vm}: sent {sent.sent:.3f}, "
            f"{sent.answer.status or 'no answer'} ended {sent.ended:.3f}, {sent.answer.end}"
        )
        return sent

    def used_tokens(ran, sent):
        """The tokens that a request has consumed: its prompt once, and what was delivered."""
        if sent.attempt not in ran:
            return 0
        events = sent.answer.body.count(b"id: ") if sent.answer else 0
        return sent.prompt + events * TOKENS_PER_EVENT

    def used():
        ran = {attempt for engine in engines for attempt in engine.runs}
        return sum(used_tokens(ran, sent) for sent in requests)

    try:
        for router in routers:
            router.start()
        await wait_ready(routers)
        await asyncio.sleep(1.0)
        begin, tasks, owner, frozen_at, thawed = now(), [], None, None, False
        while used() < BUSY_SHARE * PREPAID and now() - begin < 40:
            if owner is None and now() - begin > 2.0:
                owner = max(routers, key=lambda router: settled(router, TENANT))
                record.say(f"{owner.vm} books the tenant's bills")
            if trouble and frozen_at is None and now() - begin > 3.0:
                owner.signal(signal.SIGSTOP)
                frozen_at = now()
            if frozen_at and not thawed and now() - frozen_at >= FREEZE_S:
                owner.signal(signal.SIGCONT)
                thawed = True
            targets = [router for router in routers if router is not owner]
            target = targets[len(tasks) % len(targets)]
            tasks.append(asyncio.create_task(send(target, PROMPT, OUTPUT)))
            await asyncio.sleep(max(0.0, begin + len(tasks) / RATE - now()))
        await asyncio.gather(*tasks)
        record.say(f"busy phase over: {len(tasks)} requests, {used()} of {PREPAID} tokens used")
        await asyncio.sleep(max(5.0, REST_UNTIL_S - now()))
        # One request after the other, on the routers that were never frozen.
        refused = []
        for single in range(LONG_REQUESTS):
            sent = await send(targets[single % len(targets)], LONG_PROMPT, LONG_OUTPUT)
            if sent.answer.status == 402:
                refused.append(sent)
            if used() + sent.most > FIT * PREPAID:
                break
            await asyncio.sleep(0.3)
    finally:
        for router in routers:
            router.end()
    # DENIED: more than 5 + one in 500 of all requests are ended with 402 though they are
    # proper. A request is counted only if it fits, at its most, into 97 in 100 of the
    # prepaid tokens, with those at their most that had not ended `settle_ms` before.
    ran = {attempt for engine in engines for attempt in engine.runs}
    wrong = []
    for sent in refused:
        before = 0
        for other in requests:
            if other is sent or other.sent >= sent.sent or other.attempt not in ran:
                continue
            recent = other.ended is None or other.ended > sent.sent - SETTLE_S
            before += other.most if recent else used_tokens(ran, other)
        if before + sent.most <= FIT * PREPAID:
            wrong.append(sent)
    allowed = 5 + len(requests) / 500
    record.say(f"{used()} of {PREPAID} tokens used by {len(requests)} requests")
    record.say(f"{len(refused)} answered 402, {len(wrong)} of them though they fit; allowed {allowed:.1f}")
    return len(wrong) <= allowed


run_case(Path(__file__).parent, case)
