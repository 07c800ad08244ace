"""HTTP/1.1 as callers, targets and the store speak it, as little of it as the soak needs."""

import asyncio
import base64
import json
from dataclasses import dataclass, field

REQUEST_ID = "masticcourse-request-id"
SIGNATURE = "masticcourse-response-signature"
NOT_EXECUTED = "masticcourse-not-executed"
EXPECT_INSTANCE = "masticcourse-expect-instance"
HOST = "soak.example"
# An answer with one of these says that the request has not run and never will.
NOT_RUN = {402, 408, 421, 429, 503}


@dataclass
class Message:
    """A request or an answer; `whole` is false if its end did not come."""

    start: str = ""
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False

    @property
    def status(self):
        words = self.start.split()
        return int(words[1]) if len(words) > 1 and words[1].isdigit() else 0


async def read_message(reader):
    """Reads one message; what came of a broken one stands in it. Empty at the end of the connection."""
    message = Message()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        message.start = lines[0]
        message.headers = {k.strip().lower(): v.strip() for k, v in (it.split(":", 1) for it in lines[1:] if it)}
        if message.headers.get("transfer-encoding") == "chunked":
            await read_chunks(reader, message)
        else:
            message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
        message.whole = True
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        message.body += getattr(error, "partial", b"") if message.start else b""
    return message


async def read_chunks(reader, message):
    while size := int(await reader.readline() or b"-1", 16):
        if size < 0:
            raise asyncio.IncompleteReadError(b"", None)
        message.body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()


def request(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"] + [f"{k}: {v}" for k, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def put_row(port, table, key, value):
    """Writes one row as the operator or a target does."""
    row = {"table": table, "part": "", "key": key, "value": base64.b64encode(json.dumps(value).encode()).decode()}
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request("POST", "/rows-tx", {}, json.dumps({"precondition": [], "puts": [row], "remove": []}).encode()))
    reply = await asyncio.wait_for(read_message(reader), 10)
    writer.close()
    assert reply.status == 200, reply
