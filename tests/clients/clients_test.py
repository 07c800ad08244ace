"""Clients that don't behave, against a real gateway process: a small crowd sends what a payload says, at one of the
gateway's ports, and holds its connections open. Checks that the process lives, that its memory and descriptors stay
within its settings, that an ordinary request is answered while the crowd's connections are open and after they have
gone, and that its account of memory is empty again at rest. Single requests are served or refused as their rows say.
No times: the limit below only ends a test that hangs."""

import asyncio
import signal
import socket
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace
from typing import Callable

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "soak"))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "memory"))

import fleet  # noqa: E402
import payloads  # noqa: E402
import wire  # noqa: E402
from case_runner import run_cases  # noqa: E402
from exchanges import EXCHANGES, SINGLE  # noqa: E402
from parties import Connection, Target, held_at_rest, read_answer, start_site  # noqa: E402
from process_watch import ProcessWatch  # noqa: E402

# Callers try again for as long; what hangs a gateway for longer is no matter of the machine's speed.
PATIENCE_S = 60
RETRY_S = 0.2
# How long the crowd may take to send; a gateway that reads nothing more ends it.
SEND_LIMIT_S = 60
OPEN_AT_ONCE = 50
# Longer than a play: what is sent to the slow target stays there.
SLOW_WORK_S = 100


@dataclass
class Crowd:
    payload: Callable
    port: str = "callers"
    clients: int = 40
    # How often each of them connects again after it has been closed.
    reconnects: int = 2
    # How many responses each of them reads.
    responses: int = 0
    # Size of the buffer of what it has yet to read; the system's choice if 0.
    receive_buffer: int = 0


@dataclass
class Case:
    name: str
    crowds: list = field(default_factory=list)
    # What one proper client has sent, and been answered, before the crowd comes.
    before: list = field(default_factory=list)
    # Memory of a second gateway that serves the proper client; 0 if the one under test does.
    builder_mb: int = 0
    memory_mb: int = 40
    max_descriptors: int = 1000


def crowd_case(payload, memory_mb=40, **crowd):
    name = payload.__name__.replace("_", " ")
    port = crowd.get("port", "callers")
    size = "" if memory_mb == 40 else f", {memory_mb} MB"
    return Case(f"{name} at {port}{size}", [Crowd(payload, **crowd)], memory_mb=memory_mb,
                max_descriptors=max(1000, 2 * crowd.get("clients", 0)))


def descriptor_case(port, payload=payloads.nothing, name="connections"):
    return Case(f"{name} at {port}", [Crowd(payload, port=port, clients=900, reconnects=0)], max_descriptors=400)


def history_case(payload, before, responses, memory_mb=40, builder_mb=0, **crowd):
    """A crowd whose requests go on from turns that @a before has had stored."""
    case = crowd_case(payload, memory_mb=memory_mb, responses=1, **crowd)
    case.before = [Crowd(before, responses=responses)]
    case.builder_mb = builder_mb
    return case


PORTS = ["callers", "readiness", "metrics", "peers"]
FRAMING = [payloads.endless_long_trailers, payloads.endless_short_trailers, payloads.endless_trailer_line,
           payloads.endless_chunk_extension, payloads.endless_last_chunk_extension, payloads.endless_chunk_size]

CASES = [
    *[crowd_case(it) for it in FRAMING],
    *[crowd_case(payloads.endless_long_trailers, port=it) for it in PORTS[1:]],
    crowd_case(payloads.endless_chunk_extension, memory_mb=512, clients=120),
    crowd_case(payloads.many_trailers),
    crowd_case(payloads.many_trailers, port="readiness"),
    crowd_case(payloads.many_connection_options, reconnects=0),
    crowd_case(payloads.extensions_of_many_chunks),
    crowd_case(payloads.bytes_in_chunks_of_their_own, clients=10),
    crowd_case(payloads.many_fields, clients=2000, reconnects=0),
    crowd_case(payloads.many_fields, memory_mb=88, clients=3000, reconnects=0),
    crowd_case(payloads.many_fields, memory_mb=512, clients=4000, reconnects=0),
    crowd_case(payloads.pipelined_bytes, clients=4000, reconnects=0),
    crowd_case(payloads.pipelined_bytes, memory_mb=88, clients=4000, reconnects=0),
    *[crowd_case(payloads.part_of_header, port=it, clients=2500, reconnects=0) for it in PORTS],
    *[crowd_case(payloads.unfinished_body, port=it) for it in PORTS],
    *[crowd_case(payloads.unfinished_chunks, port=it) for it in PORTS],
    crowd_case(payloads.nested_messages, port="peers", clients=2, reconnects=0),
    crowd_case(payloads.unread_responses, port="metrics", clients=1000, reconnects=0),
    *[descriptor_case(it) for it in PORTS],
    *[descriptor_case(it, payloads.part_of_header, "connections with a part of a header") for it in PORTS],
    *[descriptor_case(it, payloads.endless_long_trailers, "connections that go on sending") for it in PORTS],
    crowd_case(payloads.answered_requests, memory_mb=24, reconnects=0, responses=payloads.ANSWERED_REQUESTS),
    *[history_case(payloads.turns_after_a_part_of_an_id, payloads.stored_turns, payloads.STORED_TURNS, memory_mb=m,
                   clients=n) for m, n in ((40, 40), (88, 40), (512, 120))],
    *[history_case(payloads.turns_after_a_long_history, payloads.long_history, payloads.LONG_HISTORY, memory_mb=m,
                   builder_mb=512) for m in (40, 88)],
    history_case(payloads.turns_after_a_deep_history, payloads.deep_history, payloads.DEEP_HISTORY, builder_mb=512),
    crowd_case(payloads.unread_refusals, clients=900, reconnects=0, receive_buffer=4096),
    crowd_case(payloads.large_turns),
    crowd_case(payloads.many_programs, reconnects=0),
    crowd_case(payloads.many_sessions, reconnects=0),
    crowd_case(payloads.long_names, reconnects=0),
    *[crowd_case(payloads.pipelined_requests, port=it, clients=20, reconnects=0) for it in PORTS],
    Case("several at once", [Crowd(it, clients=8) for it in FRAMING + [payloads.many_trailers]]
         + [Crowd(payloads.pipelined_bytes, clients=1000, reconnects=0),
            Crowd(payloads.many_fields, clients=200, reconnects=0)]
         + [Crowd(payloads.unfinished_body, port=it, clients=10) for it in PORTS]),
    *[Case(f"histories and others at once, {m} MB", memory_mb=m, builder_mb=512, max_descriptors=4000,
           before=[Crowd(it, responses=n) for it, n in ((payloads.long_history, payloads.LONG_HISTORY),
                                                        (payloads.stored_turns, payloads.STORED_TURNS))],
           crowds=[Crowd(it, clients=20) for it in (
               payloads.turns_after_a_long_history, payloads.turns_after_a_part_of_an_id, payloads.large_turns,
               payloads.endless_short_trailers, payloads.unfinished_body, payloads.unfinished_chunks)]
           + [Crowd(payloads.many_fields, clients=200, reconnects=0),
              Crowd(payloads.pipelined_bytes, clients=500, reconnects=0),
              Crowd(payloads.unread_refusals, clients=200, reconnects=0, receive_buffer=4096)]) for m in (24, 40, 88, 512)],
]


def target_behaviour(work_s):
    return SimpleNamespace(rejects_at_once=False, target_reads=0, response_size=10, response_chunked=False,
                           large_work_s=0.0, small_work_s=work_s)


class Client:
    """One member of a crowd."""

    def __init__(self, play, gateway, crowd, name):
        self.crowd, self.name = crowd, name
        self.port = getattr(gateway, crowd.port)
        self.gate = play.gate
        self.writer = None

    async def run(self):
        for n in range(1 + self.crowd.reconnects):
            try:
                if await self.send(f"{self.name}-{n}"):
                    return
            except OSError:
                continue  # Closed by the gateway, which it may.

    async def send(self, request_id):
        """@return whether all was sent"""
        self.close()
        async with self.gate:
            self.reader, self.writer = await asyncio.open_connection(sock=await self.connect())
        for block in self.crowd.payload(request_id):
            self.writer.write(block)
            await self.writer.drain()
            if self.reader.at_eof():
                return False
        return await self.read_responses()

    async def connect(self):
        it = socket.socket()
        it.setblocking(False)
        if self.crowd.receive_buffer:
            it.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.crowd.receive_buffer)
        await asyncio.get_running_loop().sock_connect(it, ("127.0.0.1", self.port))
        return it

    async def read_responses(self):
        """@return whether as many came as the crowd's clients read"""
        start, text, count = b"HTTP/1.1 ", b"", 0
        while count < self.crowd.responses:
            data = await self.reader.read(1 << 16)
            if not data:
                return False
            text += data
            count += text.count(start)
            # The start of a further response may have come in part.
            text = text[text.rfind(start) + len(start):][-len(start):] if start in text else text[-len(start):]
        return True

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.writer = None


class Play:
    def __init__(self, case, build, folder):
        self.case = case
        self.memory_mb, self.max_descriptors = getattr(case, "memory_mb", 40), getattr(case, "max_descriptors", 1000)
        limits = fleet.Limits(memory_mb=self.memory_mb, max_descriptors=self.max_descriptors)
        self.fleet = fleet.Fleet(build, folder, 1, limits)
        self.gateway = self.fleet.gateways[0]
        self.builder = self.make_builder(build, folder) if getattr(case, "builder_mb", 0) else self.gateway
        self.targets = [Target("i-0", target_behaviour(0.01)),
                        Target("i-1", target_behaviour(SLOW_WORK_S), service="slow", slots=10_000)]
        self.gate = asyncio.Semaphore(OPEN_AT_ONCE)
        self.asked = 0
        self.faults = []

    def make_builder(self, build, folder):
        limits = fleet.Limits(memory_mb=self.case.builder_mb, max_descriptors=self.max_descriptors)
        it = fleet.Gateway(build, folder, 1, self.fleet.store_port, limits)
        self.fleet.gateways.append(it)
        return it

    async def start(self):
        await start_site(self.fleet, self.targets)
        if self.builder is not self.gateway:
            await self.builder.prepare()
            await self.fleet.wait_for(self.builder.callers)
        self.watch = ProcessWatch(self.gateway, self.memory_mb)
        await self.check_answers("before the crowd")

    async def run(self):
        await self.start()
        watching = asyncio.create_task(self.watch.run())
        for crowd in self.case.before:
            client = Client(self, self.builder, crowd, "before")
            self.expect(await client.send("before"), "not all was answered before the crowd")
            client.close()
        if self.builder is not self.gateway:
            await self.builder.end(signal.SIGKILL)
        clients = [Client(self, self.gateway, crowd, f"crowd{k}-{n}") for k, crowd in enumerate(self.case.crowds)
                   for n in range(crowd.clients)]
        sending = [asyncio.create_task(it.run()) for it in clients]
        if sending:
            await asyncio.wait(sending, timeout=SEND_LIMIT_S)
        await self.check_answers("while the crowd's connections are open")
        for it in sending:
            it.cancel()
        for it in clients:
            it.close()
        await self.check_answers("after the crowd")
        if self.gateway.alive():
            held = await held_at_rest(self.gateway)
            self.expect(not held, f"held at rest: {held}")
        watching.cancel()
        self.check()

    async def check_answers(self, when):
        # The gateway's readiness, metrics and peers have to be reached as well, whichever port the crowd is at.
        for port, method, path, statuses in (("callers", "POST", "/order/1", {200}), ("readiness", "GET", "/readyz", {200}),
                                             ("metrics", "GET", "/metrics", {200}),
                                             ("peers", "POST", "/rows", {200, 400})):
            self.expect(await self.is_answered(port, method, path, statuses), f"no answer at {port} {when}")

    async def is_answered(self, port, method, path, statuses):
        loop = asyncio.get_running_loop()
        end = loop.time() + PATIENCE_S
        while loop.time() < end and self.gateway.alive():
            connection = Connection(getattr(self.gateway, port))
            self.asked += 1
            answer = await connection.ask(f"ordinary-{self.asked}", path, 10 if method == "POST" else 0,
                                          limit=end - loop.time(), method=method)
            connection.close()
            if answer.status in statuses:
                return True
            await asyncio.sleep(RETRY_S)
        return False

    def check(self):
        self.expect(not self.watch.killed, f"killed at {self.watch.peak_kb // 1024} MB of {self.memory_mb}")
        self.expect(self.gateway.alive(), f"the process has ended: {self.gateway.process.returncode}")
        most = self.max_descriptors
        self.expect(self.watch.peak_descriptors <= most, f"{self.watch.peak_descriptors} descriptors of {most}")
        print(f"{self.case.name}: {self.watch.peak_kb // 1024} of {self.memory_mb} MB, "
              f"{self.watch.peak_descriptors} of {most} descriptors")

    def expect(self, holds, text):
        if not holds:
            self.faults.append(text)


    async def run_exchange(self):
        await self.start()
        watching = asyncio.create_task(self.watch.run())
        exchange = self.case
        answer = await asyncio.wait_for(self.send(exchange.data), PATIENCE_S)
        self.expect(answer.status == exchange.status, f"answered {answer.status}, not {exchange.status}")
        self.expect(exchange.status != 200 or answer.headers.get("connection", "") != "close", "the connection is closed")
        self.expect(exchange.status != 200 or answer.whole, "the response is not whole")
        target = self.targets[0]
        self.expect((SINGLE in target.runs) == (exchange.status == 200), "has run" if SINGLE in target.runs else "has not run")
        if SINGLE in target.runs:
            self.check_forwarded(exchange, *target.runs[SINGLE], target.fields[SINGLE])
        watching.cancel()

    async def send(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.gateway.callers)
        writer.write(data)
        answer = await read_answer(reader, 0)
        writer.close()
        return answer

    def check_forwarded(self, exchange, count, size, fields):
        self.expect(count == 1, f"ran {count} times")
        self.expect(size == exchange.size, f"{size} bytes arrived, not {exchange.size}")
        for name, value in exchange.fields.items():
            self.expect(fields.get(name) == value, f"{name} arrived as {fields.get(name)}, not {value}")
        for name in exchange.absent:
            self.expect(name not in fields, f"{name} arrived")


async def play(case, build):
    with tempfile.TemporaryDirectory() as folder:
        it = Play(case, build, folder)
        try:
            await (it.run() if isinstance(case, Case) else it.run_exchange())
        except asyncio.TimeoutError:
            it.faults.append("no answer")
        finally:
            await it.fleet.stop()
    return it.faults


if __name__ == "__main__":
    sys.exit(run_cases(__doc__, CASES + EXCHANGES, play, lambda case, wanted: case.name == wanted))
