"""HTTP/1.1 over asyncio, as little of it as the stand-ins need."""

import asyncio


class Message:
    """A request or a response; `whole` says that its body was read to its end."""

    def __init__(self, start, headers):
        self.start, self.headers, self.body, self.whole = start, headers, b"", False

    @property
    def status(self):
        return int(self.start.split()[1])

    @property
    def method(self):
        return self.start.split()[0]

    @property
    def target(self):
        return self.start.split()[1]


async def read_head(reader):
    """@return the message without its body; nothing if the connection has ended"""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = dict((k.strip().lower(), v.strip()) for k, v in (it.split(":", 1) for it in lines[1:] if it))
    return Message(lines[0], headers)


async def read_body(reader, message, chunk_read=None):
    """Reads the body, as far as it comes.
    @param chunk_read called after each part that was read; it may wait, and so read slowly"""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readline() or b"x", 16):
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        else:
            left = int(message.headers.get("content-length", "0"))
            while left:
                part = await reader.read(min(left, 65536))
                if not part:
                    return message
                message.body += part
                left -= len(part)
                if chunk_read:
                    await chunk_read(len(part))
        message.whole = True
    except (asyncio.IncompleteReadError, ValueError, OSError):
        pass
    return message


async def read_message(reader):
    message = await read_head(reader)
    return await read_body(reader, message) if message else None


def request(method, target, host, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def serve(address, port, handler):
    """Serves connections one request after another. `handler(message, reader, writer)` reads the body and
    responds; the connection is closed if it returns False."""

    async def on_connection(reader, writer):
        try:
            while message := await read_head(reader):
                if await handler(message, reader, writer) is False:
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer has gone, or the stand-in ends.
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, address, port, limit=1 << 20)
