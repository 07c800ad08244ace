"""Callers and targets that send, read or respond slowly, or much at once."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "soak"))

import wire  # noqa: E402

PART = 65536
LARGE = 4 * 1024 * 1024
TURN_EVENT = b"id: 1\ndata: an event of the turn\n\n"


def config():
    """The "slow" service takes any number of requests at once."""
    def route(name, kind, **more):
        return {"name": name, "host": wire.HOST, "prefix": f"/{name}/", "type": kind, "service": "works",
                "timeoutMs": 30000, "targetLatencyMs": 800, "maxAttempts": 1, "priority": 2} | more

    return {"version": 3,
            "routes": [route("order", "non_idempotent"), route("slow", "non_idempotent", service="slow"), route("lookup", "idempotent", maxAttempts=3),
                       route("turn", "streaming", retentionEnabled=True, retentionS=60.0)],
            "services": [{"name": "works", "healthPath": "/healthz", "maxConnections": 500},
                         {"name": "slow", "healthPath": "/healthz", "maxConnections": 10000}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": LARGE, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


async def start_site(site, targets):
    """Starts the platform's stand-in, the targets, and the one gateway of the site."""
    gateway = site.gateways[0]
    await site.platform.start()
    await site.wait_for(site.store_port)
    await wire.put_row(site.store_port, "op", "config", config())
    for it in targets:
        await it.start()
        await wire.put_row(site.store_port, "servers", it.name, it.entry())
    await gateway.prepare()
    await site.wait_for(gateway.callers)


async def held_at_rest(gateway):
    """@return what the gateway's account of memory still holds once it had time to release all, by its use"""
    held = {"nothing read": 1}
    for _ in range(80):
        await asyncio.sleep(0.25)
        held = {k: v for k, v in (await read_held(gateway)).items() if v > 0}
        if not held:
            break
    return held


async def read_held(gateway):
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.metrics, limit=1 << 22)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    text = (await reader.read(-1)).decode()
    writer.close()
    lines = [it for it in text.splitlines() if it.startswith("masticcourse_memory_held_bytes")]
    return {it.split('"')[1]: int(it.split()[-1]) for it in lines if '"caches"' not in it}


async def pace(size, bytes_per_s):
    if bytes_per_s:
        await asyncio.sleep(size / bytes_per_s)


class Target:
    """Runs requests one after another on each connection; what is large goes by the case's rates."""

    def __init__(self, name, case, service="works", slots=64):
        self.name, self.case, self.service, self.slots = name, case, service, slots
        self.runs = {}
        # The fields of each request's header, by its id.
        self.fields = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 18)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "here", "version": "v1", "slots": self.slots,
                "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1}

    async def serve(self, reader, writer):
        try:
            while await self.answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The gateway has gone, or the case is over.
        finally:
            writer.close()

    async def answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {k.lower(): v.strip() for k, v in (it.split(":", 1) for it in head[1:] if it)}
        request_id = headers.get(wire.REQUEST_ID, "")
        large = request_id.startswith("large")
        fields = {wire.REQUEST_ID: request_id, wire.SIGNATURE: f"by-{self.name}"}
        if large and self.case.rejects_at_once:
            writer.write(wire.answer(503, fields | {wire.NOT_EXECUTED: "full"}))
            await writer.drain()
        size = await self.read_body(reader, headers, self.case.target_reads if large else 0)
        if large and self.case.rejects_at_once:
            return True
        self.runs[request_id] = (self.runs.get(request_id, (0, 0))[0] + 1, size)
        self.fields[request_id] = headers
        await asyncio.sleep(self.case.large_work_s if large else self.case.small_work_s)
        if "/turn/" in head[0]:
            writer.write(wire.answer(200, fields, TURN_EVENT))
            await writer.drain()
            return True
        await self.respond(writer, fields, self.case.response_size if large else 10)
        return True

    @staticmethod
    async def read_body(reader, headers, rate):
        if headers.get("transfer-encoding", "") == "chunked":
            total = 0
            while line := await reader.readline():
                if not (size := int(line, 16)):
                    await reader.readline()
                    return total
                await reader.readexactly(size + 2)
                await pace(size, rate)
                total += size
            raise asyncio.IncompleteReadError(b"", None)
        left = total = int(headers.get("content-length", "0"))
        while left:
            part = await reader.read(min(left, PART))
            if not part:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(part)
            await pace(len(part), rate)
        return total

    async def respond(self, writer, fields, size):
        framing = {"Transfer-Encoding": "chunked"} if self.case.response_chunked else {"Content-Length": size}
        lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in (fields | framing).items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for left in range(size, 0, -PART):
            part = b"y" * min(left, PART)
            writer.write(b"%x\r\n%s\r\n" % (len(part), part) if self.case.response_chunked else part)
            await writer.drain()
        if self.case.response_chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()


class Answer:
    """What a caller saw: status 0 means that the connection ended without a response."""

    def __init__(self, status=0, size=0, whole=False, headers=None, took_s=0.0):
        self.status, self.size, self.whole, self.headers, self.took_s = status, size, whole, headers or {}, took_s


async def read_answer(reader, rate):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, v in (it.split(":", 1) for it in head[1:] if it)}
    status = int(head[0].split()[1])
    if status == 100:
        return Answer(status, headers=headers)
    answer = Answer(status, headers=headers)
    try:
        if headers.get("transfer-encoding", "") == "chunked":
            while size := int(await reader.readline(), 16):
                await reader.readexactly(size + 2)
                await pace(size, rate)
                answer.size += size
            await reader.readline()
            answer.whole = True
        else:
            length = int(headers.get("content-length", "0"))
            while answer.size < length and (part := await reader.read(min(length - answer.size, PART))):
                answer.size += len(part)
                await pace(len(part), rate)
            answer.whole = answer.size == length
    except (OSError, asyncio.IncompleteReadError, ValueError):
        pass  # Broken off; `whole` says so.
    return answer


class Connection:
    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 18)

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def ask(self, request_id, path, size, case=None, limit=20.0, method="POST"):
        """One request; a large one is sent and its response is read as the case says."""
        began = asyncio.get_running_loop().time()
        try:
            if self.writer is None:
                await self.open()
            answer = await asyncio.wait_for(self.exchange(request_id, path, size, case, method), limit)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            answer = Answer()
        answer.took_s = asyncio.get_running_loop().time() - began
        return answer

    async def exchange(self, request_id, path, size, case, method):
        chunked = case and case.body_chunked
        deadline = case.deadline_ms if case else 6000
        lines = [f"{method} {path} HTTP/1.1", f"Host: {wire.HOST}", f"{wire.REQUEST_ID}: {request_id}",
                 f"Masticcourse-Deadline-Ms: {deadline}",
                 "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"]
        if case and case.program:
            lines += ["Masticcourse-Program-Id: p", "Masticcourse-Token-Budget: 100000", "Masticcourse-Token-Usage: 10,100"]
        if case and case.expects_continue:
            lines.append("Expect: 100-continue")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        if case and case.expects_continue:
            answer = await read_answer(self.reader, 0)
            if answer.status != 100:
                return answer
        part = case.sent_part if case else 1
        await self.send_body(int(size * part), chunked and part == 1, chunked, case.caller_sends if case else 0)
        return await read_answer(self.reader, case.caller_reads if case else 0)

    async def send_body(self, size, ends, chunked, rate):
        data = os.urandom(PART) if size > PART else b"x" * size
        for left in range(size, 0, -PART):
            part = data[:min(left, PART)]
            self.writer.write(b"%x\r\n%s\r\n" % (len(part), part) if chunked else part)
            await self.writer.drain()
            await pace(len(part), rate)
        if ends:
            self.writer.write(b"0\r\n\r\n")
            await self.writer.drain()
