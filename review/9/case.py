"""All VMs lose power; while they start again, a release of another engine version begins.

Streams of the version that all engines had are taken up when clients notice that they are silent.
"""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import fleet as f

KEY = "9dnn2ctnfzs989anu6ws"
ENGINES = 12
# Longer than any stream can last, so that nothing of before the traffic matters.
QUIET_S = 26.0
STREAMS = 36
DOWN_S = 1.1
RELEASE_AFTER_S = 1.5
REPLACED = 3
RELEASE_GAP_S = 1.0
# Four times the objective, 2.5 s.
PATIENCE_S = 10.0
STABLE_S = f.BOUNDS["stable-window-ms"] / 1000


def configuration():
    return {
        "version": 7,
        "routes": [{
            "name": "chat", "host": "users.example", "path-prefix": "/stream/", "kind": "stream",
            "timeout-ms": 20000, "target-latency-ms": 2500, "priority": 2, "service": "assistant",
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
    answer = await f.request(fleet.gates[at].port, "POST", f"/stream/{number}", {
        "X-Attempt-Id": attempt, "X-Deadline-Ms": str(int(left_s * 1000)),
        "Authorization": f"Bearer {KEY}", "X-Model": "m", "X-Token-Usage": "700,120",
        "X-Prefix-Hash": f"5c1e07a2:170,{number + 256:08x}:530", **extra},
        body=f"question {number}".encode(), limit_s=left_s, patience_s=PATIENCE_S)
    events = answer["events"]
    detail = "" if answer["status"] in (0, 200) else answer["body"].decode()[:140].strip()
    fleet.record.line(f"{attempt} got {answer['status']} whole={answer['is_whole']} "
                      f"events={events[0][0]} to {events[-1][0]}" if events else
                      f"{attempt} got {answer['status']} no event {detail}")
    return answer


async def chat(fleet, number, outcomes):
    """One chat, which the client takes up once at another daemon if its stream breaks off."""
    sent = fleet.record.now()
    answer = await send(fleet, number, f"chat-{number:03}", number % 9, {}, 20.0)
    outcomes.append(("new", sent, bool(answer["events"])))
    left_s = 20.0 - (fleet.record.now() - sent)
    if answer["is_whole"] or not answer["events"] or left_s < 1:
        return
    last = answer["events"][-1][0]
    extra = {"Last-Event-Id": str(last), "Resumes": f"chat-{number:03}"}
    for retry in (1, 2):
        sent_again = fleet.record.now()
        answer = await send(fleet, number, f"chat-{number:03}-{retry}", (number + 4 * retry) % 9,
                            extra, left_s)
        if answer["events"] or answer["status"] != 503:
            break
        # Clients honour `Retry-After` up to one third of the time that they have left.
        await asyncio.sleep(min(float(answer["headers"].get("retry-after", 0)), left_s / 3))
        left_s = left_s - (fleet.record.now() - sent_again)
        if left_s < 1:
            break
    outcomes.append(("taken up", sent_again, bool(answer["events"])))


async def release(fleet):
    """Replaces engines one after the other: the new one starts first, the old one drains."""
    for number in range(REPLACED):
        old = fleet.engines[number]
        await fleet.add_engine(f"i-new-{number}", "assistant", old.zone, "v2")
        asyncio.ensure_future(old.leave(f.BOUNDS["drain-ms"] / 1000))
        await asyncio.sleep(RELEASE_GAP_S)


async def power_off(fleet):
    fleet.record.line("all VMs lose power")
    for gate, daemon in zip(fleet.gates, fleet.daemons):
        gate.lose_power()
        daemon.kill()
    await asyncio.sleep(DOWN_S)
    for gate, daemon in zip(fleet.gates, fleet.daemons):
        daemon.start()
        gate.return_power()
    fleet.record.line("all VMs have power again")
    return fleet.record.now()


async def case(fleet):
    zones = list(fleet.zones)
    for number in range(ENGINES):
        engine = await fleet.add_engine(f"i-{number}", "assistant", zones[number % 3])
        engine.events, engine.gap_s = 93, 0.1
    fleet.publish(configuration())
    await fleet.add_daemons(zones * 3)
    await fleet.add_gates()
    await asyncio.sleep(QUIET_S)
    outcomes, chats = [], []

    async def traffic(start, count):
        for number in range(start, start + count):
            chats.append(asyncio.ensure_future(chat(fleet, number, outcomes)))
            await asyncio.sleep(0.08)

    await traffic(0, STREAMS)
    await asyncio.sleep(1)
    lost = fleet.record.now()
    # Without the disruption, the same release begins at the same time.
    planned = asyncio.ensure_future(later(RELEASE_AFTER_S, release(fleet)))
    if os.environ.get("PLANNED", "1") == "0":
        # Not part of the case: the loss of power alone.
        planned.cancel()
    back = await power_off(fleet) if f.TROUBLE else lost
    # New streams begin while the earlier ones are taken up.
    await asyncio.sleep(max(0, lost + PATIENCE_S - 2 - fleet.record.now()))
    await traffic(STREAMS, 36)
    await asyncio.gather(*chats)
    await asyncio.wait([planned])

    in_touch = [one for one in outcomes if one[1] > back + STABLE_S + 1 or one[1] < lost]
    taken_up = [has for kind, _, has in in_touch if kind == "taken up"]
    new = [has for kind, _, has in in_touch if kind == "new"]
    fleet.record.line(f"at daemons in touch: {sum(taken_up)} of {len(taken_up)} streams that were "
                      f"taken up went on; {sum(new)} of {len(new)} new streams began")
    if f.TROUBLE and len(taken_up) < 12:
        raise f.CannotRun("under 12 streams were taken up")
    if len(taken_up) < 12:
        return True
    return sum(taken_up) / len(taken_up) >= 0.5 * sum(new) / len(new)


async def later(delay_s, work):
    await asyncio.sleep(delay_s)
    await work


f.main(HERE, case)
