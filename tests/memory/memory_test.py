"""Gateways under callers and targets that send much at once, or slowly: each case is a real gateway process with a
limit of memory, killed if its resident size passes the limit, as platforms do. Checks, beside what a case asks:
nothing is lost, callers of small requests are served all the while, what is refused has not run, and the account of
memory is empty again at rest."""

import asyncio
import sys
import tempfile
from dataclasses import dataclass

from parties import LARGE, TURN_EVENT, Connection, Target, held_at_rest, start_site

import fleet
import wire
from case_runner import run_cases
from process_watch import ProcessWatch

SMALL_CALLERS = 24
SMALL_BODY = 600


@dataclass
class Case:
    name: str
    memory_mb: int = 130
    # Large requests: how many, and how many begin in a second (all at once if 0).
    large: int = 30
    per_s: float = 0
    size: int = LARGE
    # The part of the body that is sent before the caller falls silent.
    sent_part: float = 1
    body_chunked: bool = False
    expects_continue: bool = False
    path: str = "/order/1"
    program: bool = False
    deadline_ms: int = 6000
    # Bytes a second; 0 is full speed.
    caller_sends: int = 0
    caller_reads: int = 0
    target_reads: int = 0
    large_work_s: float = 0.2
    small_work_s: float = 0.1
    response_size: int = 10
    response_chunked: bool = False
    rejects_at_once: bool = False
    # Connections that are kept open without a request, and those that send a part of a header.
    idle: int = 0
    half_heads: int = 0
    # Whether that part is one long line, which is read but not understood yet, or many short ones.
    short_lines: bool = False
    # How long the case lasts beyond the large requests.
    after_s: float = 1
    # Large requests that have to be served at least.
    served: int = 0
    # The share of the small requests that have to be served.
    small_served: float = 0.995
    limit_s: float = 20


CASES = [
    Case("targets read slowly", per_s=5, target_reads=1_000_000, served=15),
    Case("bodies all at once", served=30),
    Case("bodies all at once, 88 MB", memory_mb=88, served=30),
    Case("many bodies all at once, 88 MB", memory_mb=88, large=120, served=60, small_served=0.9, deadline_ms=12000),
    Case("bodies in chunks all at once", body_chunked=True, served=30),
    Case("targets take long for a large request", large_work_s=3, served=30),
    Case("callers fall silent in the middle", large=80, sent_part=0.5, limit_s=12),
    Case("callers of chunks fall silent in the middle", large=80, sent_part=0.5, body_chunked=True, limit_s=12),
    Case("callers send slowly", large=60, caller_sends=20_000, limit_s=12),
    Case("short bodies stop in the middle, 88 MB", memory_mb=88, large=1500, size=30_000, sent_part=0.5, limit_s=12),
    Case("many short bodies stop in the middle, 88 MB", memory_mb=88, large=4000, size=30_000, sent_part=0.9, limit_s=12),
    Case("a route that repeats", path="/lookup/1", served=30),
    Case("turns that are stored", path="/turn/1", program=True, size=500_000, large=60, served=5, response_size=len(TURN_EVENT)),
    Case("many short requests at once, 88 MB", memory_mb=88, large=4000, size=600, large_work_s=3, served=500,
         small_served=0.2),
    Case("idle connections", large=0, idle=6000, after_s=2),
    Case("idle connections, 88 MB", memory_mb=88, large=0, idle=6000, after_s=2),
    Case("headers stop in the middle, 88 MB", memory_mb=88, large=0, half_heads=1500, after_s=5),
    Case("headers of many lines stop in the middle", large=0, half_heads=7000, short_lines=True, after_s=5),
    Case("headers of many lines stop in the middle, 88 MB", memory_mb=88, large=0, half_heads=5000, short_lines=True,
         after_s=5),
    Case("callers read slowly", response_size=4_000_000, size=100, caller_reads=400_000, served=30, limit_s=30),
    Case("callers read slowly, 88 MB", memory_mb=88, response_size=4_000_000, size=100, caller_reads=400_000, served=30,
         limit_s=40),
    Case("many callers read slowly, 88 MB", memory_mb=88, large=150, response_size=2_000_000, size=100,
         caller_reads=300_000, response_chunked=True, deadline_ms=10_000, limit_s=40),
    Case("large responses, 88 MB", memory_mb=88, response_size=4_000_000, size=100, served=30),
    Case("larger responses in chunks, 88 MB", memory_mb=88, large=6, response_size=30_000_000, response_chunked=True,
         size=100, served=6),
    Case("targets reject before they read", rejects_at_once=True),
    Case("callers wait before they send", expects_continue=True, large=60, target_reads=4_000_000, served=20),
    Case("the least memory", memory_mb=32, large=20, served=1, small_served=0.9),
    Case("much memory", memory_mb=512, large=80, large_work_s=1, served=80),
]


class Play:
    def __init__(self, case, build, folder):
        self.case = case
        self.fleet = fleet.Fleet(build, folder, 1, fleet.Limits(memory_mb=case.memory_mb))
        self.gateway = self.fleet.gateways[0]
        self.targets = [Target(f"i-{n}", case) for n in range(4)]
        self.small, self.large, self.faults = [], [], []
        self.finished = False

    async def start(self):
        await start_site(self.fleet, self.targets)
        self.watch = ProcessWatch(self.gateway, self.case.memory_mb)
        for _ in range(100):
            if (await Connection(self.gateway.callers).ask("warm-up", "/order/1", 10)).status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the gateway does not serve")

    async def call_small(self, number):
        connection = Connection(self.gateway.callers)
        count = 0
        while not self.finished:
            count += 1
            request_id = f"small{number}-{count}"
            answer = await connection.ask(request_id, "/order/1", SMALL_BODY)
            self.small.append((request_id, answer))
            if answer.status != 200 or answer.headers.get("connection", "").lower() == "close":
                connection.close()
                await asyncio.sleep(0.2)
        connection.close()

    async def call_large(self, number):
        connection = Connection(self.gateway.callers)
        request_id = f"large{number}"
        answer = await connection.ask(request_id, self.case.path, self.case.size, self.case, self.case.limit_s)
        self.large.append((request_id, answer))
        connection.close()

    async def open_idle(self, data=b""):
        _, writer = await asyncio.open_connection("127.0.0.1", self.gateway.callers)
        writer.write(data)
        return writer

    async def open_connections(self):
        begin = f"POST /order/1 HTTP/1.1\r\nHost: {wire.HOST}\r\n".encode()
        half_head = begin + (b"X-Filler: x\r\n" * 1000 if self.case.short_lines else b"X-Filler: " + b"x" * 14000)
        kept = []
        for data, count in ((b"", self.case.idle), (half_head, self.case.half_heads)):
            for _ in range(count):
                try:
                    kept.append(await self.open_idle(data))
                except OSError:
                    pass  # Refused: what the gateway takes is its own choice.
        return kept

    async def run(self):
        await self.start()
        watching = asyncio.create_task(self.watch.run())
        small = [asyncio.create_task(self.call_small(n)) for n in range(SMALL_CALLERS)]
        await asyncio.sleep(0.5)
        kept = await self.open_connections()
        large = []
        for n in range(self.case.large):
            large.append(asyncio.create_task(self.call_large(n)))
            await asyncio.sleep(1 / self.case.per_s if self.case.per_s else 0)
        await asyncio.gather(*large)
        await asyncio.sleep(self.case.after_s)
        self.finished = True
        await asyncio.gather(*small)
        for it in kept:
            it.close()
        self.check()
        if not self.watch.killed:
            held = await held_at_rest(self.gateway)
            self.expect(not held, f"held at rest: {held}")
        watching.cancel()

    def check(self):
        runs = {k: v for it in self.targets for k, v in it.runs.items()}
        self.expect(not self.watch.killed, f"killed at {self.watch.peak_kb // 1024} MB of {self.case.memory_mb}")
        lost = [it for it, answer in self.small if answer.status == 0]
        self.expect(not lost, f"{len(lost)} small requests without a response")
        served = sum(answer.status == 200 for _, answer in self.small)
        self.expect(served >= self.case.small_served * len(self.small), f"{served} of {len(self.small)} small ones served")
        whole = sum(answer.status == 200 and answer.whole and answer.size == self.case.response_size
                    for _, answer in self.large)
        self.expect(whole >= self.case.served, f"{whole} large ones served, not {self.case.served}")
        for request_id, answer in self.small + self.large:
            if answer.status in wire.NOT_RUN:
                self.expect(request_id not in runs, f"{request_id} has run and is answered {answer.status}")
            if answer.status == 503:
                self.expect("retry-after" in answer.headers, f"{request_id}: 503 without Retry-After")
            if answer.status == 200 and request_id in runs and request_id.startswith("large"):
                self.expect(runs[request_id][1] == self.case.size, f"{request_id}: {runs[request_id][1]} bytes arrived")
        self.expect(all(count == 1 for count, _ in runs.values()) or "lookup" in self.case.path, "a request ran twice")
        ends = sorted({answer.status for _, answer in self.large})
        times = sorted(answer.took_s for _, answer in self.small if answer.status == 200) or [0]
        print(f"{self.case.name}: peak {self.watch.peak_kb // 1024} of {self.case.memory_mb} MB; {whole} of {len(self.large)} "
              f"large served, ends {({it: sum(a.status == it for _, a in self.large) for it in ends})}; "
              f"{served} of {len(self.small)} small served, median {times[len(times) // 2] * 1000:.0f} ms, "
              f"p99 {times[len(times) * 99 // 100] * 1000:.0f} ms")

    def expect(self, holds, text):
        if not holds:
            self.faults.append(text)


async def play(case, build):
    with tempfile.TemporaryDirectory() as folder:
        it = Play(case, build, folder)
        try:
            await it.run()
        except (OSError, RuntimeError) as error:
            it.faults.append(repr(error))
        finally:
            await it.fleet.stop()
    return it.faults


if __name__ == "__main__":
    sys.exit(run_cases(__doc__, CASES, play, lambda case, wanted: wanted in case.name))
