"""Clients of the gateways, and the parts that all cases share."""

import asyncio

from wire import read_body, read_head, request

HOST = "case.example"


class Answer:
    """What a client saw: status 0 means that the connection ended without a response."""

    def __init__(self, status=0, headers=None, body=b"", whole=False, error=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.whole, self.error = whole, error


class Connection:
    """One connection of a client, for one request after another."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.address, limit=1 << 20), 1)

    async def ask(self, method, target, headers, body=b"", limit=10.0):
        try:
            if self.writer is None:
                await self.open()
            return await asyncio.wait_for(self.exchange(method, target, headers, body), limit)
        except asyncio.TimeoutError:
            return Answer(error="no end within the limit")
        except OSError as error:
            return Answer(error=type(error).__name__)

    async def exchange(self, method, target, headers, body):
        self.writer.write(request(method, target, HOST, headers, body))
        await self.writer.drain()
        message = await read_head(self.reader)
        if message is None:
            return Answer(error="closed without a response")
        await read_body(self.reader, message)
        return Answer(message.status, message.headers, message.body, message.whole)

    def close(self):
        if self.writer is not None:
            self.writer.close()
