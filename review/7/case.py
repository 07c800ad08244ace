"""A stream that may be resumed: one worker breaks off before its first event, the next one fails the request."""

import asyncio
import pathlib
import sys
import zlib

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

import site_kit as kit  # noqa: E402

WORKERS = 7
EVENTS = 4
CALLERS = 12
LENGTH_S = 90
# An entry lasts 5 s; the next one comes 2 s later.
ENTRY_S = 5
PERIOD_S = 7
# Share of their requests that the two troubled workers fail.
FAILED = 0.4


def fails(request_id):
    return zlib.crc32(request_id.encode()) % 1000 < FAILED * 1000


def event(request_id, number):
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


class Engine:
    """The work of a model worker: a stream of events, after a comment that says that the request was taken in."""

    def __init__(self, site, how):
        self.site, self.how = site, how

    async def run(self, worker, request, reader, writer):
        await kit.read_body(reader, request)
        request_id = request.header("masticcourse-request-id")
        headers = worker.headers(request)
        if request.header("masticcourse-expect-instance") not in (None, worker.name):
            writer.write(kit.head_of(421, headers | {"Masticcourse-Not-Executed": 1, "Content-Length": 0}))
            return True
        in_entry = (asyncio.get_running_loop().time() - self.site.begin) % PERIOD_S < ENTRY_S
        failing = self.site.trouble and in_entry and fails(request_id)
        if failing and self.how == "errors":
            body = b'{"error":"out of memory"}'
            self.site.notes.append((request_id, f"worker {worker.name} answers {request_id} with 500"))
            writer.write(kit.head_of(500, headers | {"Content-Length": len(body)}) + body)
            await writer.drain()
            return True
        writer.write(kit.head_of(200, headers | {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        writer.write(kit.chunk(b": taken in\n\n"))
        await writer.drain()
        await asyncio.sleep(0.02)
        if failing and self.how == "reset":
            self.site.notes.append((request_id, f"worker {worker.name} resets the connection of {request_id} before "
                                                "its first event"))
            kit.reset(writer)
            return False
        for number in range(int(request.header("last-event-id") or 0) + 1, EVENTS + 1):
            writer.write(kit.chunk(event(request_id, number)))
            await writer.drain()
            await asyncio.sleep(0.005)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def main(site):
    site.notes = []
    site.begin = asyncio.get_running_loop().time()
    hows = ["reset", "errors"] + ["sound"] * (WORKERS - 2)
    for number, how in enumerate(hows, 1):
        await kit.Worker(site, f"i-{number}", "engine", Engine(site, how).run).start()
    site.configure(
        [{"name": "plans", "host": "review.example", "prefix": "/plans/", "type": "streaming", "timeoutMs": 4000,
          "targetLatencyMs": 200, "priority": 1, "service": "engine", "maxAttempts": 2, "sticky": True,
          "resumable": True, "gapTargetMs": 200}],
        [{"name": "engine", "healthPath": "/healthz", "maxConnections": 170,
          "engine": {"slots": 16, "kvCapacityTokens": 132737, "tokensPerEvent": 18, "models": [{"name": "m"}]}}])
    await site.start_gateways(1)
    end = asyncio.get_running_loop().time() + LENGTH_S
    broken, counts = [], {}

    async def call(caller):
        number = 0
        while asyncio.get_running_loop().time() < end:
            number += 1
            request_id = f"plan-{caller}-{number}"
            connection = kit.Connection(site, site.gateways[0])
            await connection.open()
            body = b"plan a window"
            await connection.send_head("POST", "/plans/1", request_id, {
                "Content-Length": len(body), "Masticcourse-Deadline-Ms": 4000, "Masticcourse-Model": "m",
                "Masticcourse-Program-Id": f"p-{caller}-{number}", "Masticcourse-Session-Id": f"s-{caller}-{number}",
                "Masticcourse-Token-Usage": "100,200"})
            connection.writer.write(body)
            response = await kit.read_head(connection.reader)
            if response:
                await kit.read_body(connection.reader, response, response=True)
            connection.close()
            check(request_id, response)
            await asyncio.sleep(0.01)

    def check(request_id, response):
        whole = response is not None and response.whole
        status = response.status if response else 0
        counts[status, whole] = counts.get((status, whole), 0) + 1
        if status != 200 or not whole:
            return
        expected = b"".join(event(request_id, number) for number in range(1, EVENTS + 1))
        got = response.body.replace(b": taken in\n\n", b"")
        if got != expected:
            broken.append(request_id)
            for name, note in site.notes:
                if name == request_id:
                    site.record.add(note)
            site.record.add(f"client: {request_id} is answered 200, signature "
                            f"{response.header('masticcourse-response-signature')}, whole, body "
                            f"{kit.describe(response.body)}")

    await asyncio.gather(*(call(caller) for caller in range(CALLERS)))
    for (status, whole), count in sorted(counts.items()):
        site.record.add(f"{count} requests were answered {status}, {'whole' if whole else 'broken off'}")
    site.record.add(f"{len(broken)} of them were successes without the worker's events")
    if (200, True) not in counts:
        raise kit.CannotRun("no request was served")
    return bool(broken)


if __name__ == "__main__":
    kit.run(FOLDER, main)
