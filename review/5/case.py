"""Answers of the store are lost for some seconds, and some of these writes are done late. Later, when
the store has been stable for the whole window, an engine reports that it is leaving. A registration
that it had sent during the trouble, with a lower `sequence`, is done after that report."""

import asyncio
import os
import time

import client
import daemon
import engine
import scenario
import store

ROUNDS = 4
# `platform_lost` with how = "late": writes are done 1 to 6 s later; for_s = 4.5 at the site.
LOST_S = 4.5
LATE_S = 6.0
DRAIN_S = daemon.BOUNDS["drain-ms"] / 1000
# How long an engine serves on after its report: drain-ms and a little longer.
LINGER_S = DRAIN_S + 2.5
PER_S = 60.0


async def traffic(deployment, answers, ends):
    number = 0
    while not ends.is_set():
        one = deployment.daemons[number % len(deployment.daemons)]
        number += 1
        deadline = time.monotonic() + 1.0
        answers.append(asyncio.create_task(
            client.attempt(client.Stream(one.zone), one, "/view/1", scenario.KEY, deadline)))
        await asyncio.sleep(1 / PER_S)


async def run(record):
    known = await store.Store().start()
    engines = await scenario.start_engines(known, "boleteria", "v1", [(zone, 1) for zone in scenario.ZONES])
    text = scenario.configuration(1, [], [])
    text["routes"] = [{"name": "view", "host": "users.example", "path-prefix": "/view/", "kind": "safe",
                       "timeout-ms": 1000, "target-latency-ms": 200, "priority": 2, "max-attempts": 2,
                       "public": False, "service": "boleteria"}]
    text["services"] = [{"name": "boleteria", "health-path": "/healthz", "max-connections": 110,
                         "protocol": "h1", "tls": False}]
    await known.put("keyed.op", "config", text)
    deployment = daemon.Deployment(known.address)
    answers, left, ends = [], [], asyncio.Event()
    try:
        await deployment.start()
        await scenario.wait_ready(deployment, record)
        sending = asyncio.create_task(traffic(deployment, answers, ends))
        await asyncio.sleep(3)
        for number in range(ROUNDS):
            leaving = engines[number]
            record("the trouble of the store begins")
            await asyncio.sleep(LOST_S - 0.05)
            if scenario.TROUBLE:
                await leaving.register(late_s=LATE_S - 0.05)
                record(f"{leaving.id}: registration {leaving.sequence} ({leaving.state}) gets no answer")
            await asyncio.sleep(0.05)
            record("the trouble of the store ends")
            # The store has been stable for the whole window when the engine reports.
            await asyncio.sleep(daemon.STABLE_S + 0.05)
            await leaving.drain()
            left.append((leaving, time.monotonic()))
            record(f"{leaving.id}: registration {leaving.sequence} (draining) is acknowledged")
            await asyncio.sleep(LINGER_S)
            await leaving.leave()
            record(f"{leaving.id} has left")
            # An empty engine is added before the next round.
            new = engine.Engine(f"i-new-{number}", leaving.service, leaving.zone, "v1", known)
            engines.append(await new.start())
            await asyncio.sleep(2)
        ends.set()
        await sending
        results = await asyncio.gather(*answers)
    finally:
        deployment.stop()
    statuses = {}
    for one in results:
        statuses[one["status"]] = statuses.get(one["status"], 0) + 1
    record.say(f"{len(results)} requests: {statuses}")
    by_id = {one["id"]: one for one in results}
    late = 0
    for leaving, acknowledged in left:
        for one in leaving.runs:
            sent = by_id.get(one["id"])
            if one["at"] <= acknowledged + DRAIN_S or sent is None or not sent["in_touch"]:
                continue
            late += 1
            record(f"{leaving.id} got {one['id']} from {sent['daemon']} {one['at'] - acknowledged:.3f} s after its "
                   f"report was acknowledged; the client sent it {sent['at'] - acknowledged:.3f} s after that")
    record.say(f"{late} requests reached an engine later than {DRAIN_S} s after its report was acknowledged")
    return late > 0


scenario.main(run, os.path.dirname(os.path.abspath(__file__)))
