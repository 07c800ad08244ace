"""A small deployment on loopback for the scripts of review/4 and later.

It holds stand-ins of the platform's metadata store and of the workers, a client, and the gateways as separate
processes. Only what PROTOCOL.md and `fleetbench wire` name is spoken. Python's standard library only.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
GATEWAY = ROOT / "target" / "masticcourse-gateway"
TEMPLATE = ROOT / "deploy" / "gateway.toml.template"

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

# How often a worker writes to the store.
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be brought about; it says nothing about the rule."""


# Below the ports that the system gives to outgoing connections, which would take one before its gateway listens.
LISTEN_PORTS = range(15000, 32000)


def free_port():
    while True:
        port = random.choice(LISTEN_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue  # In use by others: another one is taken.


def reset(writer):
    """Closes a connection with a reset instead of an orderly end."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass  # The other side has closed it already.
    writer.transport.abort()


class Record:
    """What was sent, answered and run, written to record.txt of the case's folder."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} s  {text}\n")
        self.file.flush()


class Message:
    """A request or a response that was read; `whole` says whether its end has come."""

    def __init__(self, start):
        self.start, self.headers, self.body, self.whole = start, {}, b"", False

    @property
    def status(self):
        words = self.start.split()
        return int(words[1]) if len(words) > 1 and words[1].isdigit() else 0

    def header(self, name):
        return self.headers.get(name.lower())


async def read_head(reader):
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            message.headers[name.strip().lower()] = value.strip()
    return message


async def read_body(reader, message, response=False, pace=None):
    """Reads the body; what came of it stands in the message.

    @param pace called with the size of each part, for a reader that reads slowly
    """
    try:
        if message.header("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"-1", 16)
                if size < 0:
                    return
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if pace:
                    await pace(size)
                if size == 0:
                    message.whole = True
                    return
        if message.header("content-length") is not None:
            left = int(message.header("content-length"))
            while left > 0:
                part = await reader.read(min(left, 65536))
                if not part:
                    return
                message.body += part
                left -= len(part)
                if pace:
                    await pace(len(part))
            message.whole = True
            return
        if response and message.status not in (204, 304):
            while part := await reader.read(65536):
                message.body += part
        message.whole = True
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
    except (ConnectionError, ValueError):
        pass


def head_of(status, headers):
    reasons = {200: "OK", 412: "Precondition Failed", 421: "Misdirected Request", 500: "Internal Server Error",
               503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Answer')}"] + [f"{k}: {v}" for k, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Store:
    """The platform's metadata store: rows, transactions under conditions, and the feed of changes."""

    def __init__(self):
        self.rows, self.log, self.version, self.changed = {}, [], 0, asyncio.Event()
        self.port, self.server = 0, None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table, key, document):
        """Writes a row as the operator or a worker does."""
        self.apply([(table, "", key, base64.b64encode(json.dumps(document).encode()).decode())], [])

    def remove(self, table, key):
        self.apply([], [(table, "", key)])

    def apply(self, puts, removes):
        self.version += 1
        for table, part, key, value in puts:
            self.rows[(table, part, key)] = (value, self.version)
            self.log.append({"table": table, "part": part, "key": key, "value": value, "ver": self.version})
        for table, part, key in removes:
            if self.rows.pop((table, part, key), None) is not None:
                self.log.append({"table": table, "part": part, "key": key, "ver": self.version, "deleted": True})
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_head(reader):
                await read_body(reader, request)
                status, document = await self.answer(request)
                if "ver" not in document:
                    document["ver"] = self.version
                document["nowMs"] = int(time.monotonic() * 1000)
                text = json.dumps(document).encode()
                writer.write(head_of(status, {"Content-Type": "application/json", "Content-Length": len(text)}) + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        method, target, _ = request.start.split()
        path, _, query = target.partition("?")
        words = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-tx":
            await asyncio.sleep(0.008)
            return self.transact(json.loads(request.body))
        await asyncio.sleep(0.002)
        if path == "/rows-get":
            return self.get(words)
        if path == "/rows-parts":
            parts = sorted({part for table, part, _ in self.rows if table == words["table"]})
            return 200, {"parts": [it for it in parts if it > words.get("after", "") or "after" not in words],
                         "hasMore": False}
        if path == "/rows-feed":
            return await self.feed(words)
        return 404, {}

    def transact(self, document):
        for it in document.get("precondition", []):
            found = self.rows.get((it["table"], it["part"], it["key"]))
            if (found[1] if found else 0) != it["ver"]:
                current = [self.row((c["table"], c["part"], c["key"])) for c in document["precondition"]]
                return 412, {"rows": [row for row in current if row]}
        self.apply([(it["table"], it["part"], it["key"], it["value"]) for it in document.get("puts", [])],
                   [(it["table"], it["part"], it["key"]) for it in document.get("remove", [])])
        return 200, {"ver": self.version}

    def row(self, name):
        found = self.rows.get(name)
        return found and {"table": name[0], "part": name[1], "key": name[2], "value": found[0], "ver": found[1]}

    def get(self, words):
        limit = min(int(words.get("limit", "500")), 500)
        names = sorted(name for name in self.rows
                       if name[0] == words["table"] and name[1] == words.get("part", "")
                       and name[2] >= words.get("from", "") and ("to" not in words or name[2] < words["to"]))
        return 200, {"rows": [self.row(name) for name in names[:limit]], "hasMore": len(names) > limit}

    async def feed(self, words):
        after, end = int(words["after"]), time.monotonic() + int(words.get("waitMs", "0")) / 1000
        while True:
            rows = [it for it in self.log if it["table"] == words["table"] and it["ver"] > after]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """A worker of a service. The case gives `run`, which answers a request that begins to run."""

    def __init__(self, site, name, service, run, slots=16, receive_buffer=0):
        self.site, self.name, self.service, self.run, self.slots = site, name, service, run, slots
        self.receive_buffer = receive_buffer
        self.port, self.server, self.writers, self.sequence = 0, None, set(), 0
        self.state, self.heartbeat = "ready", None

    async def start(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            # The segments and the small windows of a network; loopback alone takes megabytes for a peer that reads
            # nothing.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        sock.bind(("127.0.0.1", self.port))
        self.server = await asyncio.start_server(self.serve, sock=sock, limit=65536)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register("ready")
        self.heartbeat = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register(self.state)

    def leave(self):
        """Removes its entry, and writes no more."""
        self.heartbeat.cancel()
        self.site.store.remove("servers", self.name)

    def register(self, state):
        self.state = state
        self.sequence += 1
        self.site.store.put("servers", self.name, {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "z1", "version": "v1",
            "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": self.sequence})

    def crash(self):
        """Its process ends: all of its connections are reset, and none is taken any more."""
        self.site.record.add(f"worker {self.name} crashes")
        self.heartbeat.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def headers(self, request):
        return {"Masticcourse-Request-Id": request.header("masticcourse-request-id") or "",
                "Masticcourse-Response-Signature": f"by-{self.name}"}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_head(reader):
                if not await self.run(self, request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Gateway:
    """One gateway process, started as the deploy file says, with settings made from its template."""

    def __init__(self, site, number):
        self.site, self.number = site, number
        self.callers, self.readiness, self.peers, self.metrics = (free_port() for _ in range(4))
        self.settings = site.folder / f"gateway-{number}.toml"
        self.process = None

    def write_settings(self):
        values = {"{{nodeName}}": f"edge-z1-{self.number}", "{{zone}}": "z1",
                  "{{listen.frontend}}": f"127.0.0.1:{self.callers}",
                  "{{listen.readiness}}": f"127.0.0.1:{self.readiness}",
                  "{{ip}}:{{internalPorts.0}}": f"127.0.0.1:{self.peers}", "{{ip}}:9464": f"127.0.0.1:{self.metrics}",
                  "{{platform.address}}": f"127.0.0.1:{self.site.store.port}", "{{platform.rowBytes}}": "65536",
                  "{{limits.memoryMb}}": str(self.site.memory_mb),
                  "{{#limits.maxFds}}max_descriptors = {{.}}": "max_descriptors = 8200", "{{/limits.maxFds}}": "",
                  "{{limits.cpuShare}}": "0.5", "{{bounds.graceS}}": "8",
                  "{{contracts|json}}": json.dumps(["base", "drain", "config", "cost", "recover", "agent", "stream",
                                                    "engine", "platform"])}
        text = TEMPLATE.read_text(encoding="utf-8")
        for name, value in values.items():
            text = text.replace(name, value)
        # The bounds of quotas are set where a deployment has tenants; this one has none.
        text = "\n".join(it for it in text.split("\n") if "bounds.quota" not in it) + "\n"
        self.settings.write_text(text, encoding="utf-8")

    async def start(self):
        self.write_settings()
        with open(self.site.folder / f"gateway-{self.number}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(GATEWAY), cwd=ROOT, stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.site.max_fds, self.site.max_fds)),
                env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                     "MASTICCOURSE_BOOT": str(self.settings)})

    async def wait_ready(self):
        for _ in range(200):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head and head.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"gateway {self.number} does not become ready")

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Site:
    """The whole deployment. Use as an asynchronous context."""

    def __init__(self, case, memory_mb=130):
        self.case, self.memory_mb, self.max_fds = pathlib.Path(case), memory_mb, 8200
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(case)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store, self.gateways = Store(), []

    async def __aenter__(self):
        if not GATEWAY.exists():
            raise CannotRun("target/masticcourse-gateway has not been built")
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for it in self.gateways:
            await it.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, routes, services, max_body=4194304, **more):
        self.store.put("op", "config", {
            "version": 1, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": max_body, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}} | more)

    async def start_gateways(self, count):
        for number in range(1, count + 1):
            gateway = Gateway(self, number)
            self.gateways.append(gateway)
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        # Gateways get to know each other and the rows within seconds; traffic of a deployment starts later.
        await asyncio.sleep(2)


class Connection:
    """A client's connection to a gateway."""

    def __init__(self, site, gateway):
        self.site, self.gateway, self.reader, self.writer = site, gateway, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.gateway.callers)

    def close(self):
        if self.writer:
            self.writer.close()

    async def send_head(self, method, path, request_id, headers):
        lines = [f"{method} {path} HTTP/1.1", "Host: review.example", f"Masticcourse-Request-Id: {request_id}"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        await self.writer.drain()

    async def read_response(self, request_id):
        response = await read_head(self.reader)
        if response is None:
            self.site.record.add(f"client: {request_id}: the connection ends without an answer")
            return None
        await read_body(self.reader, response, response=True)
        self.site.record.add(
            f"client: {request_id} is answered {response.status}, signature "
            f"{response.header('masticcourse-response-signature') or 'none'}, "
            f"{'whole' if response.whole else 'broken off'}, body {describe(response.body)}")
        return response

    async def request(self, method, path, request_id, body=b"", headers=None):
        await self.send_head(method, path, request_id, {"Content-Length": len(body)} | (headers or {}))
        self.writer.write(body)
        await self.writer.drain()
        self.site.record.add(f"client: sends {request_id} ({method} {path}) to gateway {self.gateway.number}")
        return await self.read_response(request_id)


def describe(body):
    return repr(body[:160].decode("latin-1")) + (f" and {len(body) - 160} bytes more" if len(body) > 160 else "")


def run(case, main):
    """Runs a case and ends the process with its exit code."""
    site = Site(case)

    async def play():
        async with site:
            return await asyncio.wait_for(main(site), 110)

    try:
        broken = asyncio.run(play())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        site.record.add(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    site.record.add("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
