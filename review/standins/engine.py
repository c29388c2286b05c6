"""Stand-in for an engine of a service: event streams and plain requests."""

import asyncio
import json
import random
import time

import wire

HEARTBEAT_S = 1.2

# Time that a request which is no stream takes.
WORK_S = 0.015


class Engine:
    """Registers itself in the store and answers requests; `runs` lists what it has run."""

    def __init__(self, id, service, zone, version, store, events=40, pause_s=0.1, slots=64):
        self.id, self.service, self.zone, self.version = id, service, zone, version
        self.store, self.events, self.pause_s, self.slots = store, events, pause_s, slots
        self.state = "ready"
        self.runs = []
        # Share of the requests that fail after the work is done, and the status of these failures.
        self.failing, self.failure_status = 0.0, 500
        self.sequence = 0
        self.born = None

    async def start(self):
        self.server = await wire.Server(self._handle).start()
        self.address = self.server.address
        self.born = int(time.time() * 1000)
        await self.register()
        self.beating = asyncio.create_task(self._beat())
        return self

    async def register(self, late_s=None):
        """Writes the entry. With `late_s`, the call gets no answer and is done that much later."""
        if self.store.silent:
            return
        self.sequence += 1
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "cold-remaining-ms": 0, "phase": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence, "born": self.born,
        }
        if late_s is None:
            await self.store.put("keyed.servers", self.id, entry)
        else:
            asyncio.create_task(self._put_late(entry, late_s))

    async def _put_late(self, entry, late_s):
        await asyncio.sleep(late_s)
        await self.store.put("keyed.servers", self.id, entry)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    async def drain(self):
        """Reports that it is leaving, and goes on to do so each heartbeat; returns when the store has
        accepted the report."""
        self.beating.cancel()
        self.state = "draining"
        await self.register()
        self.beating = asyncio.create_task(self._beat())

    async def leave(self):
        """Ends: the entry goes, and nothing is answered any more."""
        self.beating.cancel()
        await self.store.put("keyed.servers", self.id, None)
        self.server.server.close()

    async def _handle(self, request, reader, writer):
        headers = request.headers
        id = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(wire.answer(421, [("X-Instance-Id", self.id), ("X-Not-Executed", "1")]))
            await writer.drain()
            return True
        if not id:
            writer.write(wire.answer(400, [("X-Not-Executed", "1")]))
            await writer.drain()
            return True
        run = {"at": time.monotonic(), "id": id, "engine": self.id, "service": self.service,
               "version": self.version, "last": headers.get("last-event-id"), "path": request.path,
               "tenant": headers.get("x-tenant")}
        self.runs.append(run)
        common = [("X-Attempt-Id", id), ("X-Engine-Signature", f"{self.id}.{len(self.runs)}")]
        if not request.path.startswith("/stream") and random.random() < self.failing:
            await asyncio.sleep(WORK_S)
            run["answered"] = self.failure_status
            writer.write(wire.answer(self.failure_status, common, b"failed"))
            await writer.drain()
            return True
        if not request.path.startswith("/stream"):
            await asyncio.sleep(WORK_S)
            run["answered"] = 200
            writer.write(wire.answer(200, common, f"{self.id} {id}".encode()))
            await writer.drain()
            return True
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in common]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        end = time.monotonic() + int(headers.get("x-deadline-ms", 20000)) / 1000
        # Most engines drop a request when its connection closes.
        left = asyncio.ensure_future(reader.read(1))
        for number in range(int(run["last"] or 0) + 1, self.events + 1):
            await asyncio.wait([left], timeout=self.pause_s)
            if left.done() or time.monotonic() > end:
                break
            data = json.dumps({"engine": self.id, "service": self.service, "version": self.version})
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        else:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        left.cancel()
        return False
