"""The whole site starts. Soon after traffic begins, processes of the system are killed one after the
other, and clients take up the streams that break off. All engines run one software version."""

import asyncio
import os

import client
import daemon
import scenario
import store

STREAMS = 300
PER_S = 27.0
# From the start of the machines to the start of traffic.
LEAD_S = 10.0
KILL_AT_S = (3.0, 5.5, 8.0)
RESTART_S = 0.5


async def trouble(deployment, record):
    for number, at in enumerate(KILL_AT_S):
        await asyncio.sleep(at - (KILL_AT_S[number - 1] if number else 0))
        victim = next(one for one in deployment.daemons if one.zone == scenario.ZONES[number])
        victim.kill()
        record.say(f"killed {victim.name}")
        await asyncio.sleep(RESTART_S)
        victim.start()


async def run(record):
    known = await store.Store().start()
    engines = await scenario.start_engines(known, "asistente-lm", "v1")
    routes = [scenario.chat_route(service="asistente-lm")]
    await known.put("keyed.op", "config", scenario.configuration(1, routes, ["asistente-lm"]))
    deployment = daemon.Deployment(known.address)
    try:
        await deployment.start()
        await asyncio.sleep(LEAD_S)
        await scenario.wait_ready(deployment, record)
        record.say("traffic starts")
        disturbing = asyncio.create_task(trouble(deployment, record)) if scenario.TROUBLE else None
        requests = []
        for number in range(STREAMS):
            zone = scenario.ZONES[number % 3]
            sending = client.run(deployment, zone, "/stream/a", scenario.KEY, scenario.TIMEOUT_S, retries=1)
            requests.append(asyncio.create_task(sending))
            await asyncio.sleep(1 / PER_S)
        streams = await asyncio.gather(*requests)
        if disturbing:
            await disturbing
    finally:
        deployment.stop()
    scenario.write_streams(record, streams)
    for one in engines:
        record(f"engine {one.id} {one.version}: {len(one.runs)} runs: " + " ".join(
            run["id"] + (f"(after {run['last']})" if run["last"] else "") for run in one.runs))
    # The rule counts machines in touch only; all twelve engines serve all the while.
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
