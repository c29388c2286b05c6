"""A small HTTP/1.1 server for the stand-ins, on asyncio and the standard library only."""

import asyncio


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)


async def read_head(reader):
    """The start line and the headers, with lower-case names; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises ConnectionError if it ends early."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise ConnectionError("the body ended early")
        size = int(line.split(b";")[0], 16)
        try:
            data = await reader.readexactly(size + 2)
        except asyncio.IncompleteReadError:
            raise ConnectionError("the body ended early") from None
        if size == 0:
            return
        yield data[:-2]


def answer(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Calls `handle(request, writer)` for each request; the handler writes the whole answer and
    returns whether the connection can be used on."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                start, headers = head
                method, target, _ = start.split(" ")
                body = b""
                if "chunked" in headers.get("transfer-encoding", ""):
                    async for chunk in read_chunks(reader):
                        body += chunk
                elif "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                if not await self.handle(Request(method, target, headers, body), reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()
