"""The operator lowers a time-out; later some daemons are killed, and their streams are taken up.

Engines of two versions serve from the start, and all streams began before the change.
"""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import fleet as f

KEY = "9dnn2ctnfzs989anu6ws"
ENGINES = 6
# Longer than any stream can last, so that nothing of before the traffic matters.
QUIET_S = 26.0
STREAMS = 72
NEW_STREAMS = 24
# A stream lasts 17.7 s, which is less than the deadline of its client.
EVENTS, GAP_S = 93, 0.19
# New streams end before the lowered time-out, after 5.7 s.
NEW_EVENTS = 30
LOWERED_AFTER_S = 4.0
KILLED_AFTER_S = 15.0
DOWN_S = 2.0
VICTIMS = 3


def configuration(version, timeout_ms):
    return {
        "version": version,
        "routes": [{
            "name": "chat", "host": "users.example", "path-prefix": "/stream/", "kind": "stream",
            "timeout-ms": timeout_ms, "target-latency-ms": 2500, "priority": 2, "service": "assistant",
            "max-attempts": 2, "public": False, "session-affinity": True, "stream-resume": True,
            "gap-target-ms": 200}],
        "services": [{
            "name": "assistant", "health-path": "/healthz", "max-connections": 370,
            "protocol": "h1", "tls": False,
            "engine": {"slots": 64, "kv-capacity": 425277, "kv-bytes": 163840}}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "school", "api-keys": [KEY], "priority": 1}],
    }


async def send(fleet, number, attempt, at, extra, left_s):
    fleet.record.line(f"client sends {attempt} to {fleet.daemons[at].name} {extra or ''}")
    answer = await f.request(fleet.daemons[at].ingress, "POST", f"/stream/{number}", {
        "X-Attempt-Id": attempt, "X-Deadline-Ms": str(int(left_s * 1000)),
        "Authorization": f"Bearer {KEY}", "X-Model": "m", "X-Token-Usage": f"700,{EVENTS if number < STREAMS else NEW_EVENTS}",
        "X-Prefix-Hash": f"5c1e07a2:170,{number + 256:08x}:530", **extra},
        body=f"question {number}".encode(), limit_s=left_s)
    events = answer["events"]
    detail = "" if answer["status"] in (0, 200) else answer["body"].decode()[:140].strip()
    fleet.record.line(f"{attempt} got {answer['status']} whole={answer['is_whole']} "
                      f"events={events[0][0]} to {events[-1][0]}" if events else
                      f"{attempt} got {answer['status']} no event {detail}")
    return answer


async def chat(fleet, number, at, outcomes):
    """One chat, which the client takes up at other daemons if its stream breaks off."""
    sent = fleet.record.now()
    first = f"chat-{number:03}"
    answer = await send(fleet, number, first, at, {}, 20.0)
    outcomes.append(("new", bool(answer["events"])))
    left_s = 20.0 - (fleet.record.now() - sent)
    if answer["is_whole"] or not answer["events"] or left_s < 1:
        return
    extra = {"Last-Event-Id": str(answer["events"][-1][0]), "Resumes": first}
    for retry in (1, 2):
        # The platform sends clients to daemons that are ready.
        at = VICTIMS + (number + retry) % (9 - VICTIMS)
        answer = await send(fleet, number, f"{first}-{retry}", at, extra, left_s)
        if answer["events"] or answer["status"] != 503:
            break
        # Clients honour `Retry-After` up to one third of the time that they have left.
        left_s = 20.0 - (fleet.record.now() - sent)
        await asyncio.sleep(min(float(answer["headers"].get("retry-after", 0)), left_s / 3))
        left_s = 20.0 - (fleet.record.now() - sent)
        if left_s < 1:
            break
    outcomes.append(("taken up", bool(answer["events"])))


async def case(fleet):
    zones = list(fleet.zones)
    for number in range(2 * ENGINES):
        engine = await fleet.add_engine(f"i-{number}", "assistant", zones[number % 3],
                                        "v1" if number < ENGINES else "v2")
        engine.events, engine.gap_s = EVENTS, GAP_S
    fleet.publish(configuration(7, 20000))
    await fleet.add_daemons(zones * 3)
    await asyncio.sleep(QUIET_S)
    outcomes, chats = [], []
    start = fleet.record.now()
    for number in range(STREAMS):
        chats.append(asyncio.ensure_future(chat(fleet, number, number % 9, outcomes)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(start + LOWERED_AFTER_S - fleet.record.now())
    if os.environ.get("LOWERED", "1") != "0":
        # LOWERED=0 is not part of the case: the same without the change.
        fleet.publish(configuration(8, 8000))
    await asyncio.sleep(start + KILLED_AFTER_S - fleet.record.now())
    if f.TROUBLE:
        fleet.record.line(f"{VICTIMS} of 9 daemons are killed")
        for daemon in fleet.daemons[:VICTIMS]:
            daemon.kill()
    for number in range(STREAMS, STREAMS + NEW_STREAMS):
        at = VICTIMS + number % (9 - VICTIMS)
        chats.append(asyncio.ensure_future(chat(fleet, number, at, outcomes)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(DOWN_S - NEW_STREAMS * 0.02)
    if f.TROUBLE:
        for daemon in fleet.daemons[:VICTIMS]:
            daemon.start()
    await asyncio.gather(*chats)

    # All take-ups and the later new streams are sent to daemons that were never disturbed.
    taken_up = [has for kind, has in outcomes if kind == "taken up"]
    new = [has for kind, has in outcomes if kind == "new"]
    fleet.record.line(f"at daemons in touch: {sum(taken_up)} of {len(taken_up)} streams that were "
                      f"taken up went on; {sum(new)} of {len(new)} new streams began")
    if f.TROUBLE and len(taken_up) < 12:
        raise f.CannotRun("under 12 streams were taken up")
    if len(taken_up) < 12:
        return True
    return sum(taken_up) / len(taken_up) >= 0.5 * sum(new) / len(new)


f.main(HERE, case)
