"""CONFIG: streams on routes that were added later are no longer served after many changes."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))

from client import HOST, send, wait_ready
from engine import Engine
from fleet import Router
from setup import BROKEN, HELD, UNUSABLE, config, main, model_service, route
from store import Store

ADDED_ROUTES = 474     # big_config, as on a day of the site files
STORMS = 7             # config_storm: a change each 0.33 s for 4 s
STORM_S, GAP_S, PAUSE_S = 4.0, 0.33, 1.0
ADDED_HOST = "drafts.example"
PROBES = 60


def added_routes(moved):
    """The added routes. The first `moved` of them go to another service."""
    services = ["model-b" if number < moved else "model-a" for number in range(ADDED_ROUTES)]
    return [route(f"added-{number}", f"/studio-{number:04}/drafts/", "streaming", service,
                  host=ADDED_HOST, resumable=True) for number, service in enumerate(services)]


async def served(record, routers, host, path):
    answers = await asyncio.gather(*(
        send(record, routers[number % len(routers)].front, path(number), "key-studio",
             tokens=(543, 9), host=host) for number in range(PROBES)))
    return sum(answer.status == 200 and answer.whole for answer in answers)


async def case(record, folder, trouble, routers):
    store = await Store().start()
    services = [model_service("model-a"), model_service("model-b")]
    first = [route("tagline", "/tagline/", "streaming", "model-a", resumable=True)]
    version = 7

    async def change(routes):
        nonlocal version
        version += 2
        await store.put("op/config", config(version, routes, services, {"studio": 100_000_000}))

    await change(first)
    for number in range(2):
        for service in ("model-a", "model-b"):
            await Engine(store, record, f"i-{service}-{number}", service, "zone-a").start()
    for number in range(3):
        routers.append(Router(f"edge-{number}", "zone-a", store.address, folder).start())
    if not await wait_ready(routers):
        record.write("the routers are not ready")
        return UNUSABLE
    await asyncio.sleep(4)

    await change(first + added_routes(0))
    record.write(f"configuration {version} adds {ADDED_ROUTES} routes")
    await asyncio.sleep(4)
    moved = 0
    for _ in range(STORMS if trouble else 0):
        for _ in range(int(STORM_S / GAP_S)):
            moved += 1
            await change(first + added_routes(moved))
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(PAUSE_S)
    record.write(f"configuration {version} is the last; {moved} changes moved a route each")
    # Steady state: config-apply-ms and stable-window-ms are over.
    await asyncio.sleep(8)

    on_first = await served(record, routers, HOST, lambda number: "/tagline/a")
    on_added = await served(record, routers, ADDED_HOST,
                            lambda number: f"/studio-{number:04}/drafts/a")
    record.write(f"the store refused {store.refused_values} values that were too long")
    sizes = {key: len(item[0]) for key, item in store.items.items() if "versions" in key}
    record.write(f"bytes of the histories: {sizes}")
    record.write(f"CONFIG: served on the first routes {on_first} of {PROBES},"
                 f" on the added routes {on_added} of {PROBES}")
    return BROKEN if on_added * 4 < on_first else HELD


main(case)
