"""What all cases share: the folder, the record, the configuration and the outcome."""

import asyncio
import os
import shutil
import sys
import tempfile

from client import HOST
from fleet import Record, end

HELD, BROKEN, UNUSABLE = 0, 1, 2


def route(name, prefix, kind, service, **more):
    return {
        "name": name, "host": HOST, "path-prefix": prefix, "kind": kind, "service": service,
        "timeout-ms": 8000, "target-latency-ms": 1000, "priority": 1, "max-attempts": 2,
        "public": False, "sticky": kind == "streaming", "resumable": False, "gap-target-ms": 400,
        **more,
    }


def config(version, routes, services, prepaid, limits=None):
    """A configuration with the tenants and their prepaid tokens in `prepaid`."""
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000, **(limits or {})},
        "tenants": [{"name": name, "api-keys": [f"key-{name}"], "prepaid": tokens}
                    for name, tokens in prepaid.items()],
    }


def model_service(name="model", slots=128):
    return {"name": name, "health-path": "/healthz", "max-conns": 600,
            "engine": {"slots": slots, "kv-capacity": 264876, "stride": 3}}


def desk_service(name="desk"):
    return {"name": name, "health-path": "/healthz", "max-conns": 300}


def main(case):
    """Runs `case(record, folder, trouble)`, which returns an outcome, and exits with it."""
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(here, "record.txt"))
    record.write(f"trouble {int(trouble)}")
    folder = tempfile.mkdtemp(prefix="review-")
    routers = []

    async def run():
        try:
            return await asyncio.wait_for(case(record, folder, trouble, routers), 110)
        finally:
            rest = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in rest:
                task.cancel()
            await asyncio.gather(*rest, return_exceptions=True)

    try:
        outcome = asyncio.run(run())
    except Exception as err:  # An error of the script itself is no result.
        record.write(f"the case could not run: {type(err).__name__}: {err}")
        outcome = UNUSABLE
    finally:
        end(routers)
    record.write(f"outcome {outcome}")
    print(f"outcome {outcome}")
    if not os.environ.get("KEEP"):
        shutil.rmtree(folder, ignore_errors=True)
    else:
        print(folder)
    sys.stdout.flush()
    os._exit(outcome)  # Without the noise of connections that are still open.
