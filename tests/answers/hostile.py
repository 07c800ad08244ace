"""Targets and a store that answer with raw bytes: without end, or with what is no answer."""

import asyncio
import re
import time

import wire

FILLER = b"x" * 65536
ENDLESS_LENGTH = "Content-Length: 1000000000000"
CHUNKED = "Transfer-Encoding: chunked"
UNTIL_CLOSE = "Connection: close"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def head(*fields, status="200 OK", request_id="@", signed=True):
    """@return the header of an answer; `@` stands for the id of the request"""
    lines = [f"HTTP/1.1 {status}", *([f"{wire.REQUEST_ID}: {request_id}"] if request_id else []),
             *([f"{wire.SIGNATURE}: by-i-hostile"] if signed else []), *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Form:
    """An answer: `first` once, then `again` until its reader closes the connection."""

    def __init__(self, name, first, again=b""):
        self.name, self.first, self.again = name, first, again


REJECTED = f"{wire.NOT_EXECUTED}: full"
ENDLESS_ANSWERS = [
    Form("status line", b"HTTP/1.1 200 ", FILLER),
    Form("header line", head()[:-2] + b"X-A: ", FILLER),
    Form("bytes", b"", FILLER),
    Form("blank lines", b"", b"\r\n" * 8192),
    Form("body with a length", head(ENDLESS_LENGTH), FILLER),
    Form("body in chunks", head(CHUNKED), chunk(FILLER)),
    Form("body until close", head(UNTIL_CLOSE), FILLER),
    Form("failure", head(ENDLESS_LENGTH, status="500 X"), FILLER),
    Form("rejection", head(REJECTED, ENDLESS_LENGTH, status="503 X", request_id=""), FILLER),
    Form("unsigned body", head(ENDLESS_LENGTH, signed=False), FILLER),
    Form("trailers", head(CHUNKED) + b"0\r\n", b"X-A: " + b"y" * 1000 + b"\r\n"),
    Form("another's with a length", head(ENDLESS_LENGTH, request_id="other"), FILLER),
    Form("another's in chunks", head(CHUNKED, request_id="other"), chunk(FILLER)),
    Form("another's until close", head(UNTIL_CLOSE, request_id="other"), FILLER),
    Form("another's failure", head(ENDLESS_LENGTH, status="500 X", request_id="other"), FILLER),
    Form("others' answers", b"", head("Content-Length: 2", request_id="other") + b"ok"),
    Form("interim answers", b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000),
    Form("comments", head(CHUNKED), chunk(b": waits\n\n" * 1000)),
]

ROWS = b'{"table":"servers","part":"","key":"k","value":"e30=","ver":1},' * 500
STORE_OK = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


def store_head(framing):
    return f"{STORE_OK}{framing}\r\n\r\n".encode()


def store_reply(body):
    return store_head(f"Content-Length: {len(body)}") + body


STORE_FORMS = [
    Form("body until close", store_head(UNTIL_CLOSE), FILLER),
    Form("body with a length", store_head(ENDLESS_LENGTH), FILLER),
    Form("body in chunks", store_head(CHUNKED), chunk(FILLER)),
    Form("rows", store_head(CHUNKED) + chunk(b'{"ver":1,"nowMs":1,"hasMore":false,"rows":['), chunk(ROWS)),
    Form("failure", b"HTTP/1.1 500 X\r\nConnection: close\r\n\r\n", FILLER),
    Form("header", STORE_OK.encode(), b"X-A: y\r\n" * 1000),
    Form("4 MB of open lists", store_reply(b"[" * 4_000_000)),
    Form("4 MB of empty lists", store_reply(b"[" + b"[]," * 1_333_000 + b"[]]")),
    Form("4 MB of members", store_reply(b'{"ver":1,"rows":[' + b"{}," * 1_333_000 + b"{}]}")),
    Form("nonsense", store_reply(b"nonsense")),
    Form("a version that is text", store_reply(b'{"ver":"1","rows":[],"hasMore":false}')),
    Form("rows with odd members", store_reply(
        b'{"ver":1,"rows":[{"table":7,"part":[],"key":"a","ver":"x","value":{},"deleted":3}],"parts":[1],"hasMore":2}')),
    Form("nested deep", store_reply(b'{"ver":1,"rows":[' + b'{"a":' * 100_000 + b"1" + b"}" * 100_000 + b"]}")),
]


async def send(writer, form, request_id):
    """Sends the answer and goes on until the connection breaks."""
    writer.write(form.first.replace(b"@", request_id.encode()))
    await writer.drain()
    while form.again:
        writer.write(form.again)
        await writer.drain()


class HostileTarget:
    """Answers each request by `form`."""

    def __init__(self, name, service):
        self.name, self.service = name, service
        self.form = None
        self.requests = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 18)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "here", "version": "v1",
                "slots": 1000, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1}

    async def serve(self, reader, writer):
        try:
            while text := await reader.readuntil(b"\r\n\r\n"):
                fields = text.decode("latin-1").lower()
                await reader.readexactly(int((re.search(r"content-length: (\d+)", fields) or [0, "0"])[1]))
                self.requests += 1
                await send(writer, self.form, re.search(rf"{wire.REQUEST_ID}: (\S+)", fields)[1])
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, TypeError):
            pass  # The gateway has closed the connection, or checks whether somebody listens.
        finally:
            writer.close()


class HostileStore:
    """Stands in front of the store; while `form` is set, it answers each call by it for a while."""

    LENGTH_S = 5

    def __init__(self, store_port):
        self.store_port = store_port
        self.form = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def away(self):
        """New connections are refused, open ones end."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        upstream = None
        try:
            up_reader, upstream = await asyncio.open_connection("127.0.0.1", self.store_port, limit=1 << 22)
            while request := await wire.read_message(reader):
                if not request.start:
                    return
                if self.form:
                    await asyncio.wait_for(send(writer, self.form, ""), self.LENGTH_S)
                    continue
                upstream.write(wire.request(*request.start.split()[:2], {}, request.body))
                answer = await wire.read_message(up_reader)
                writer.write(wire.answer(answer.status, {"Content-Type": "application/json"}, answer.body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, asyncio.TimeoutError):
            pass  # One side has gone, or the answer has had its time.
        finally:
            self.writers.discard(writer)
            writer.transport.abort()
            if upstream:
                upstream.close()


def now():
    return time.monotonic()
