"""A gateway that is stopped leaves the reservations of its last turns in the budgets of their programs."""

import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from clients import Connection  # noqa: E402
from gateways import Gateway, free_network  # noqa: E402
from platform_store import Store  # noqa: E402
from wire import chunk, read_body, response, serve  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PROGRAMS = 24
# Tokens: of a program, of one turn at most, of one event; a turn makes three events.
BUDGET, MOST, PER_EVENT, EVENTS = 500, 288, 24, 3
TURN_S = 1.2  # how long a turn takes at its worker
LEAD_S = 1.9  # new connections go to a stopped gateway until its second missed probe, 2 s after the signal
SETTLE_S = 1.0  # bound settleMs
ALLOWED = 5

CONFIG = {
    "version": 3,
    "routes": [{"name": "turns", "host": "case.example", "prefix": "/turn/", "type": "streaming", "service": "engine",
                "timeoutMs": 4000, "maxAttempts": 2, "targetLatencyMs": 200, "gapTargetMs": 500, "priority": 0,
                "sticky": True, "retentionEnabled": True, "retentionS": 60.0}],
    "services": [{"name": "engine", "healthPath": "/healthz", "maxConnections": 170,
                  "engine": {"tokensPerEvent": PER_EVENT}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
}
FIELDS = {"limits": {"memoryMb": 130, "cpuShare": 0.5}, "bounds": {"graceS": 8}}


class Case:
    def __init__(self, folder):
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()
        self.record = open(HERE / "record.txt", "w", encoding="utf-8")
        self.folder, self.network = folder, free_network()
        self.store = Store()
        self.gateways = []
        self.requests = self.refused = 0

    def note(self, text):
        self.record.write(f"{self.loop.time() - self.began:8.3f} s  {text}\n")
        self.record.flush()

    async def worker(self, message, reader, writer):
        await read_body(reader, message)
        request_id = message.headers.get("masticcourse-request-id", "")
        if message.headers.get("masticcourse-expect-instance", "i-engine") != "i-engine":
            writer.write(response(421, {"Masticcourse-Request-Id": request_id}))
            return True
        self.note(f"worker runs {request_id}")
        writer.write(f"HTTP/1.1 200 OK\r\nMasticcourse-Request-Id: {request_id}\r\n"
                     "Masticcourse-Response-Signature: by-engine\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\nMasticcourse-Instance-Load: 1,0,64\r\n\r\n".encode())
        for n in range(1, EVENTS + 1):
            await asyncio.sleep(TURN_S / EVENTS)
            writer.write(chunk(f"id: {n}\ndata: {request_id}-{n}\n\n".encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    async def start(self):
        self.servers = [await self.store.listen(f"{self.network}.250", 8142),
                        await serve(f"{self.network}.251", 8501, self.worker)]
        self.store.put_json("op", "config", CONFIG)
        self.store.put_json("servers", "i-engine", {
            "service": "engine", "address": f"{self.network}.251:8501", "zone": "z1", "version": "v1", "slots": 64,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1})
        for n, zone in ((1, "z1"), (2, "z2")):
            it = Gateway(self.folder, f"edge-{zone}-1", f"{self.network}.{n}", zone, f"{self.network}.250:8142", FIELDS)
            self.gateways.append(it)
            await it.start()
        return all([await it.wait_until_ready() for it in self.gateways])

    async def turn(self, gateway, program, number, previous=None):
        headers = {"Masticcourse-Request-Id": f"{program}-t{number}", "Masticcourse-Program-Id": program,
                   "Masticcourse-Session-Id": f"s{program}", "Masticcourse-Program-Deadline-Ms": "20000",
                   "Masticcourse-Token-Budget": str(BUDGET), "Masticcourse-Token-Usage": f"100,{MOST}",
                   "Masticcourse-Model": "m", "Masticcourse-Deadline-Ms": "4000"}
        if previous:
            headers["Masticcourse-Previous-Turn"] = previous
        connection = Connection(gateway.frontend)
        self.requests += 1
        answer = await connection.ask("POST", f"/turn/{number}", headers, b"what next? ")
        connection.close()
        events = answer.body.count(b"data: ")
        self.note(f"{program}-t{number} by {gateway.name}: {answer.status or answer.error}, "
                  f"{events} events = {events * PER_EVENT} tokens, {'whole' if answer.whole else 'not whole'}")
        return answer, events * PER_EVENT

    async def program(self, name, first, second, second_at):
        answer, used = await self.turn(first, name, 1)
        if answer.status != 200 or not answer.whole:
            return False  # The turn has not ended whole, so its tokens may count at their most.
        await asyncio.sleep(max(SETTLE_S, second_at - self.loop.time()))
        answer, _ = await self.turn(second, name, 2, f"{name}-t1")
        if answer.status == 402 and used + MOST <= BUDGET:
            self.refused += 1
            self.note(f"{name}: 402 though {used} of {BUDGET} tokens are used and a turn needs {MOST} at most; "
                      f"row: {self.spending(name)}")
        return True

    def spending(self, program):
        found = [part for table, part, key in self.store.rows if table == "spending" and key == program]
        return self.store.get_row("spending", found[0], program).decode() if found else "none"

    async def run(self):
        if not await self.start():
            self.note("a gateway did not become ready")
            return 2
        await asyncio.sleep(6)  # the gateways know each other, and their buckets are settled
        first, second = self.gateways
        if TROUBLE:
            self.note(f"SIGTERM to {first.name}")
            first.send(signal.SIGTERM)
            ended = asyncio.create_task(self.watch_end(first))
        await asyncio.sleep(LEAD_S)
        second_at = self.loop.time() + TURN_S + 3.0
        names = [f"p{random.randrange(16**8):08x}" for _ in range(PROGRAMS)]
        whole = await asyncio.gather(*(self.program(it, first, second, second_at) for it in names))
        if TROUBLE:
            await ended
        self.note(f"{sum(whole)} of {PROGRAMS} first turns ended whole; {self.refused} second turns got 402 falsely; "
                  f"{self.requests} requests, allowed: {ALLOWED} + one in 500")
        if sum(whole) < PROGRAMS / 2:
            return 2
        return 1 if self.refused > ALLOWED + self.requests / 500 else 0

    async def watch_end(self, gateway):
        try:
            code = await asyncio.wait_for(gateway.process.wait(), FIELDS["bounds"]["graceS"])
            self.note(f"{gateway.name} ended by itself with {code}, within graceS")
        except asyncio.TimeoutError:
            self.note(f"{gateway.name} is killed after graceS")
            await gateway.end()
        await gateway.start()

    async def stop(self):
        await asyncio.gather(*(it.end() for it in self.gateways))
        for it in self.servers:
            it.close()


async def main():
    folder = tempfile.mkdtemp()
    case = Case(folder)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        return await asyncio.wait_for(case.run(), 100)
    except asyncio.CancelledError:
        case.note("the case was ended from outside")
        return 2
    except Exception as error:  # The case could not run; the record says why.
        case.note(f"the case failed: {error!r}")
        return 2
    finally:
        await case.stop()
        shutil.rmtree(folder, ignore_errors=True)


sys.exit(asyncio.run(main()))
