"""Stand-in for the platform's metadata store: the log topics that the daemons use."""

import asyncio
import base64
import json
import struct

import wire

ANSWER_S = 0.004
READ_ONLY = ("keyed.op", "keyed.servers")


class Store:
    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.appends = []
        # While set, nothing is answered; calls that came meanwhile get no answer later either.
        self.silent = False

    async def start(self):
        self.server = await wire.Server(self._handle).start()
        self.address = self.server.address
        return self

    async def put(self, topic, key, value):
        """Appends a record; returning is the acknowledgement. `None` as value drops the key."""
        text = b"" if value is None else json.dumps(value).encode()
        await self._append(topic, [(key.encode(), text)])

    async def _append(self, topic, records):
        async with self.changed:
            self.topics.setdefault(topic, []).extend(records)
            self.changed.notify_all()

    def _end(self, topic):
        return len(self.topics.get(topic, ()))

    async def _say_nothing(self):
        while self.silent:
            await asyncio.sleep(0.05)
        return False

    async def _handle(self, request, _, writer):
        await asyncio.sleep(ANSWER_S)
        if self.silent:
            return await self._say_nothing()
        topic = request.query.get("topic", "")
        number = lambda name: int(request.query.get(name) or 0)
        if request.path == "/basilgrade/log-read":
            start = number("from")
            if self._end(topic) <= start and number("wait-ms"):
                async with self.changed:
                    ready = self.changed.wait_for(lambda: self._end(topic) > start)
                    try:
                        await asyncio.wait_for(ready, number("wait-ms") / 1000)
                    except asyncio.TimeoutError:
                        pass
                if self.silent:
                    return await self._say_nothing()
            body = struct.pack(">QQ", self._end(topic), 0)
            for key, value in self.topics.get(topic, [])[start:]:
                content = bytes([len(key)]) + key + value
                body += struct.pack(">I", len(content)) + content
            writer.write(wire.answer(200, [("Content-Type", "application/octet-stream")], body))
        elif request.path == "/basilgrade/log-newest":
            newest = {}
            for key, value in self.topics.get(topic, []):
                newest.pop(key, None)
                if value:
                    newest[key] = value
            items = [
                {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": 0}
                for key, value in sorted(newest.items())
            ]
            page = {"items": items, "has-more": False, "end-offset": self._end(topic)}
            writer.write(wire.answer(200, [("Content-Type", "application/json")], json.dumps(page).encode()))
        elif request.path == "/basilgrade/log-append" and topic in READ_ONLY:
            writer.write(wire.answer(403))
        elif request.path == "/basilgrade/log-append":
            records, rest = [], request.body
            while rest:
                size = struct.unpack(">I", rest[:4])[0]
                content, rest = rest[4 : 4 + size], rest[4 + size :]
                if topic.startswith("keyed."):
                    length = content[0]
                    records.append((content[1 : 1 + length], content[1 + length :]))
                else:
                    # Topics without keys hold the content as it is.
                    records.append((content[1 : 1 + content[0]], content[1 + content[0] :]))
            offset = self._end(topic)
            await self._append(topic, records)
            self.appends.append((topic, len(records)))
            body = json.dumps({"offset": offset, "end-offset": self._end(topic)}).encode()
            writer.write(wire.answer(200, [("Content-Type", "application/json")], body))
        else:
            writer.write(wire.answer(404))
        await writer.drain()
        return True
