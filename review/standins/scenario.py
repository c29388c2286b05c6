"""What the scripts of the review share: configuration, engines, traffic, record and exit code."""

import asyncio
import math
import os
import sys
import time
import traceback

import daemon
import engine
import store

KEY = "9dnn2ctnfzs989anu6ws"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIMEOUT_S = 20.0
ZONES = list(daemon.ZONES)


class CannotRun(Exception):
    """The case could not run as planned; the script exits with 2."""


def configuration(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health-path": "/healthz", "max-connections": 370, "protocol": "h1", "tls": False,
             "engine": {"slots": 64, "kv-capacity": 425277}}
            for name in services
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": [{"name": "bozi300", "api-keys": [KEY], "priority": 1}],
    }


def chat_route(**target):
    """A route like that of the families' chat of the site."""
    return {"name": "chat", "host": "users.example", "path-prefix": "/stream/", "kind": "stream",
            "timeout-ms": int(TIMEOUT_S * 1000), "target-latency-ms": 2500, "priority": 2, "max-attempts": 2,
            "stages": [], "public": False, "session-affinity": True, "stream-resume": True,
            "gap-target-ms": 200, **target}


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.times = {}

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self(text)
        self.times.setdefault(text, time.monotonic())
        print(text, flush=True)

    def start_of(self, text):
        """When `text` was said first; infinity if it was not."""
        return self.times.get(text, math.inf)


async def start_engines(known, service, version, counts=(("cba-a", 4), ("ros-a", 4), ("mdz-a", 4)), **options):
    engines = []
    for zone, count in counts:
        for number in range(count):
            one = engine.Engine(f"i-{service}-{zone}-{number}", service, zone, version, known, **options)
            engines.append(await one.start())
    return engines


async def wait_ready(deployment, record):
    for _ in range(200):
        if all(one.misses == 0 for one in deployment.daemons):
            record("all daemons are ready")
            return
        await asyncio.sleep(0.1)
    raise CannotRun("not all daemons became ready")


def write_streams(record, streams):
    for number, stream in enumerate(streams):
        sources = []
        for event in stream.events:
            name = f"{event['service']}/{event['version']}"
            if not sources or sources[-1][0] != name:
                sources.append([name, event["id"], event["id"]])
            sources[-1][2] = event["id"]
        text = ", ".join(f"{first}-{last} of {name}" for name, first, last in sources)
        record(f"stream {number}: whole={stream.whole} events: {text}")
        for one in stream.attempts:
            record(
                f"  attempt {one['id']} at {one['daemon']} in_touch={one['in_touch']} sent={one['at'] - record.start:.3f} "
                f"last_event={one['last']} status={one['status']} retry_after={one['retry_after']} "
                f"events={one['events']} end={one['end']} {one['body']}"
            )


def main(scenario, folder):
    """Runs `scenario(record)`, which returns whether the rule was broken; exits with the code."""
    record = Record(folder)
    record.say(f"trouble={TROUBLE}")

    async def guarded():
        try:
            broken = await asyncio.wait_for(scenario(record), 110)
        except Exception:
            record.say("the case could not run:\n" + traceback.format_exc())
            code = 2
        else:
            record.say("result: the rule was broken" if broken else "result: the rule held")
            code = 1 if broken else 0
        sys.stdout.flush()
        record.file.close()
        # The daemons have ended; what is left are connections of the stand-ins.
        os._exit(code)

    asyncio.run(guarded())
