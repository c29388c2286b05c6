"""A VM of the system loses power. While its clients still wait for their streams, the engines of the
service begin to be replaced: the first engine of a new software version comes. Then the clients take
up their streams, at VMs that were never disturbed."""

import asyncio
import os

import client
import daemon
import engine
import gate
import scenario
import store

STREAMS = 216
PER_S = 27.0
QUIET_S = 26.0
POWER_LOST_AT_S = 6.0
DARK_S = 3.5
# From the loss of power to the registration of the first new engine; clients notice after 10 s.
NEW_VERSION_AFTER_S = 3.0
VICTIMS = 2


async def release(known, engines, record):
    """Replaces three engines, one at a time: the new one starts first, then the old one drains."""
    await asyncio.sleep(POWER_LOST_AT_S + NEW_VERSION_AFTER_S)
    for number in range(3):
        old = engines[number * 4]
        new = engine.Engine(f"i-new-{number}", old.service, old.zone, "v2", known)
        engines.append(await new.start())
        record.say(f"engine {new.id} of version v2 is registered")
        old.state = "draining"
        await old.register()
        record(f"engine {old.id} of version v1 drains")
        await asyncio.sleep(1)


async def trouble(deployment, record):
    await asyncio.sleep(POWER_LOST_AT_S)
    victims = [next(one for one in deployment.daemons if one.zone == zone) for zone in scenario.ZONES[:VICTIMS]]
    for victim in victims:
        victim.gate.lose_power()
        victim.kill()
        record.say(f"{victim.name} has lost power")
    await asyncio.sleep(DARK_S)
    for victim in victims:
        victim.start()
        victim.gate.return_power()
        record.say(f"{victim.name} starts again")


async def run(record):
    known = await store.Store().start()
    engines = await scenario.start_engines(known, "asistente-lm", "v1")
    routes = [scenario.chat_route(service="asistente-lm")]
    await known.put("keyed.op", "config", scenario.configuration(1, routes, ["asistente-lm"]))
    deployment = daemon.Deployment(known.address)
    for one in deployment.daemons:
        one.gate = await gate.Gate(one.ingress).start()
        one.entry = one.gate.port
    try:
        await deployment.start()
        await scenario.wait_ready(deployment, record)
        await asyncio.sleep(QUIET_S)
        record.say("traffic starts")
        disturbing = asyncio.create_task(trouble(deployment, record)) if scenario.TROUBLE else None
        # PLANNED=0 leaves the release out, to show the loss of power alone.
        is_planned = os.environ.get("PLANNED", "1") != "0"
        planning = asyncio.create_task(release(known, engines, record)) if is_planned else None
        requests = []
        for number in range(STREAMS):
            zone = scenario.ZONES[number % 3]
            sending = client.run(deployment, zone, "/stream/a", scenario.KEY, scenario.TIMEOUT_S, retries=1)
            requests.append(asyncio.create_task(sending))
            await asyncio.sleep(1 / PER_S)
        streams = await asyncio.gather(*requests)
        if planning:
            await planning
        if disturbing:
            await disturbing
    finally:
        deployment.stop()
    scenario.write_streams(record, streams)
    for one in engines:
        record(f"engine {one.id} {one.version} {one.state}: {len(one.runs)} runs: " + " ".join(
            run["id"] + (f"(after {run['last']})" if run["last"] else "") for run in one.runs))
    # The rule counts machines in touch only; nine engines of v1 serve all the while.
    attempts = [attempt for one in streams for attempt in one.attempts if attempt["in_touch"]]
    taken_up = [attempt for attempt in attempts if attempt["last"]]
    went_on = [attempt for attempt in taken_up if attempt["events"]]
    new = [attempt for attempt in attempts if not attempt["last"]]
    begun = [attempt for attempt in new if attempt["events"]]
    record.say(f"at daemons in touch: {len(taken_up)} streams taken up, {len(went_on)} went on; "
               f"{len(new)} new ones, {len(begun)} began")
    if scenario.TROUBLE and len(taken_up) < 12:
        raise scenario.CannotRun("fewer than 12 streams were taken up")
    if len(taken_up) < 12:
        return False
    return len(went_on) / len(taken_up) < 0.5 * len(begun) / len(new)


scenario.main(run, os.path.dirname(os.path.abspath(__file__)))
