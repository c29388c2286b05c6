"""Engines of two software versions serve. The platform's store is silent for some seconds; meanwhile
VMs of the system lose power. When their clients take up the streams at VMs that were never disturbed,
the store has been stable for the whole window again."""

import asyncio
import os

import client
import daemon
import gate
import scenario
import store

STREAMS = 360
PER_S = 27.0
SILENT_AT_S, SILENT_S = 3.0, 8.0
POWER_LOST_AT_S, DARK_S = 8.0, 3.5
VICTIMS = 2


async def store_trouble(known, record):
    await asyncio.sleep(SILENT_AT_S)
    known.silent = True
    record.say("the store is silent")
    await asyncio.sleep(SILENT_S)
    known.silent = False
    record.say("the store answers again")


async def power_trouble(deployment, record):
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
    engines = await scenario.start_engines(known, "asistente-lm", "v1", [(zone, 2) for zone in scenario.ZONES])
    for zone in scenario.ZONES:
        for number in range(2):
            one = scenario.engine.Engine(f"i-second-{zone}-{number}", "asistente-lm", zone, "v2", known)
            engines.append(await one.start())
    routes = [scenario.chat_route(service="asistente-lm")]
    await known.put("keyed.op", "config", scenario.configuration(1, routes, ["asistente-lm"]))
    deployment = daemon.Deployment(known.address)
    for one in deployment.daemons:
        one.gate = await gate.Gate(one.ingress).start()
        one.entry = one.gate.port
    try:
        await deployment.start()
        await scenario.wait_ready(deployment, record)
        await asyncio.sleep(6)
        record.say("traffic starts")
        troubles = []
        if scenario.TROUBLE:
            troubles = [asyncio.create_task(store_trouble(known, record)),
                        asyncio.create_task(power_trouble(deployment, record))]
        requests = []
        for number in range(STREAMS):
            zone = scenario.ZONES[number % 3]
            sending = client.run(deployment, zone, "/stream/a", scenario.KEY, scenario.TIMEOUT_S, retries=1)
            requests.append(asyncio.create_task(sending))
            await asyncio.sleep(1 / PER_S)
        streams = await asyncio.gather(*requests)
        for trouble in troubles:
            await trouble
    finally:
        deployment.stop()
    scenario.write_streams(record, streams)
    for one in engines:
        record(f"engine {one.id} {one.version}: {len(one.runs)} runs: " + " ".join(
            run["id"] + (f"(after {run['last']})" if run["last"] else "") for run in one.runs))
    # The rule counts machines in touch only; six engines of each version serve all the while.
    calm_from = record.start_of("the store answers again") + daemon.STABLE_S
    silent_from = record.start_of("the store is silent")
    def in_touch(attempt):
        return attempt["in_touch"] and not silent_from <= attempt["at"] < calm_from
    attempts = [attempt for one in streams for attempt in one.attempts if in_touch(attempt)]
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
