"""Clients of event streams, which take up again what breaks off."""

import asyncio
import json
import random
import secrets
import time

import wire

HOST = "users.example"

# Clients abandon a stream after a gap of two seconds, four times the objective (2.5 s) or eight times
# the longest pause (0.2 s), whichever is longest.
PATIENCE_S = max(2.0, 4 * 2.5, 8 * 0.2)


class Stream:
    """One request of a client: its attempts, and the events that it has received."""

    def __init__(self, zone):
        self.zone = zone
        self.attempts = []
        self.events = []
        self.whole = False
        self.first_attempt = None


async def attempt(stream, daemon, path, key, deadline):
    """One client attempt on a new connection; returns its record."""
    id = secrets.token_hex(8)
    last = stream.events[-1]["id"] if stream.events else None
    now = time.monotonic()
    record = {"id": id, "daemon": daemon.name, "at": now, "last": last, "status": None, "events": 0,
              "retry_after": None, "in_touch": daemon.in_touch(now), "end": None, "body": ""}
    stream.attempts.append(record)
    writer = None
    try:
        connecting = asyncio.open_connection("127.0.0.1", daemon.entry, limit=1 << 20)
        reader, writer = await asyncio.wait_for(connecting, 1)
        left = int((deadline - time.monotonic()) * 1000)
        lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {id}", f"X-Deadline-Ms: {left}",
                 f"Authorization: Bearer {key}", "X-Model: m", "X-Token-Usage: 543,280",
                 "X-Prefix-Hash: 5c1e07a2:172,%s:371" % secrets.token_hex(4), "Content-Length: 24"]
        if last is not None:
            lines += [f"Last-Event-Id: {last}", f"Resumes: {stream.first_attempt}"]
        body = secrets.token_hex(12)
        writer.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
        patience = min(PATIENCE_S, deadline - time.monotonic())
        head = await asyncio.wait_for(wire.read_head(reader), patience)
        if head is None:
            record["end"] = "closed without an answer"
            return record
        start, headers = head
        record["status"] = int(start.split(" ")[1])
        if "retry-after" in headers:
            record["retry_after"] = float(headers["retry-after"])
        if "content-length" in headers:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            record["body"] = body.decode("utf-8", "replace").strip()
            record["end"] = "answered"
            return record
        buffer = b""
        chunks = wire.read_chunks(reader)
        while True:
            patience = min(PATIENCE_S, deadline - time.monotonic())
            try:
                buffer += await asyncio.wait_for(chunks.__anext__(), patience)
            except StopAsyncIteration:
                break
            while b"\n\n" in buffer:
                event, buffer = buffer.split(b"\n\n", 1)
                id_line, data = event.decode().split("\n")
                entry = json.loads(data.removeprefix("data: "))
                entry["id"] = int(id_line.removeprefix("id: "))
                entry["attempt"] = id
                stream.events.append(entry)
                stream.first_attempt = stream.first_attempt or id
                record["events"] += 1
        record["end"] = "whole"
        stream.whole = True
    except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record["end"] = f"broken ({type(error).__name__})"
    finally:
        if writer:
            writer.close()
    return record


async def run(deployment, zone, path, key, deadline_s, retries=2):
    """Sends a request; retries it, or takes its stream up, on new connections at other daemons."""
    stream = Stream(zone)
    deadline = time.monotonic() + deadline_s
    tried = []
    for _ in range(retries + 1):
        choice = [one for one in deployment.rotation(zone) if one not in tried] or deployment.rotation(zone)
        daemon = random.choice(choice)
        tried.append(daemon)
        record = await attempt(stream, daemon, path, key, deadline)
        left = deadline - time.monotonic()
        if stream.whole or left < 0.1 or record["status"] in (400, 401, 404, 413, 431):
            break
        wait = record["retry_after"]
        if wait is not None:
            # Clients honour this up to a third of the time that they have left.
            if wait > left / 3:
                break
            await asyncio.sleep(wait)
    return stream
