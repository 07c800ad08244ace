"""Targets and a store that send what is no answer, or answers without end, against a real gateway process: that it
lives, that its memory stays within its settings and its account is empty at rest, that no caller gets a success, and
that ordinary requests to another target are served meanwhile and afterwards. And planned stops of a gateway, in
calm, under requests that come late: that each request that was read whole is answered."""

import asyncio
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace

for folder in ("soak", "memory"):
    sys.path.insert(0, str(Path(__file__).resolve().parent.parent / folder))

import fleet  # noqa: E402
import hostile  # noqa: E402
import wire  # noqa: E402
from case_runner import run_cases  # noqa: E402
from parties import Connection, Target, held_at_rest  # noqa: E402
from process_watch import ProcessWatch  # noqa: E402
from stops import STOPS, play_stop  # noqa: E402

MEMORY_MB = 40
CALLERS = 30
ORDINARY = 20
# Callers come back after a promise that nothing has run.
TRIES = 3
# Of the ordinary requests beside a store that answers nonsense, at least so many are served.
SERVED_BESIDE_STORE = 0.8
DEADLINE_MS = 3000
# Beyond its deadline no request is held longer.
LATEST_S = DEADLINE_MS / 1000 + 2
HOSTILE_ROUTES = ["hostile-order", "hostile-lookup", "hostile-stream", "hostile-plan"]


@dataclass
class TargetCase:
    form: hostile.Form

    @property
    def name(self):
        return f"target: {self.form.name}"


@dataclass
class StoreCase:
    form: hostile.Form

    @property
    def name(self):
        return f"store: {self.form.name}"


def config():
    def route(name, kind, service, **more):
        return {"name": name, "host": wire.HOST, "prefix": f"/{name}/", "type": kind, "service": service,
                "timeoutMs": 8000, "targetLatencyMs": 800, "maxAttempts": 2, "priority": 2} | more

    return {"version": 3,
            "routes": [route("order", "non_idempotent", "works"),
                       route("hostile-order", "non_idempotent", "hostile"),
                       route("hostile-lookup", "idempotent", "hostile"),
                       route("hostile-stream", "streaming", "hostile"),
                       route("hostile-plan", "streaming", "hostile", resumable=True, gapTargetMs=200)],
            "services": [{"name": "works", "healthPath": "/healthz", "maxConnections": 500},
                         {"name": "hostile", "healthPath": "/healthz", "maxConnections": 10000}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


class Site:
    """A gateway whose store is behind a stand-in that can answer nonsense, a sound target and two hostile ones."""

    def __init__(self, build, folder):
        self.fleet = fleet.Fleet(build, folder, 1, fleet.Limits(memory_mb=MEMORY_MB, max_descriptors=1000))
        self.gateway = self.fleet.gateways[0]
        self.store = hostile.HostileStore(self.fleet.store_port)
        behaviour = SimpleNamespace(rejects_at_once=False, target_reads=0, response_size=10, response_chunked=False,
                                    large_work_s=0.0, small_work_s=0.01)
        self.sound = Target("i-sound", behaviour)
        self.hostile = [hostile.HostileTarget(f"i-hostile-{n}", "hostile") for n in range(2)]
        self.asked = 0

    async def start(self):
        await self.fleet.platform.start()
        await self.fleet.wait_for(self.fleet.store_port)
        await wire.put_row(self.fleet.store_port, "op", "config", config())
        for it in [self.sound, *self.hostile]:
            await it.start()
            await wire.put_row(self.fleet.store_port, "servers", it.name, it.entry())
        await self.store.start()
        self.gateway.store.target_port = self.store.port
        await self.gateway.prepare()
        await self.fleet.wait_for(self.gateway.callers)
        self.watch = ProcessWatch(self.gateway, MEMORY_MB)

    async def ask(self, path, tries=1):
        """@return the answer of the last try"""
        for _ in range(tries):
            self.asked += 1
            connection = Connection(self.gateway.callers)
            answer = await connection.ask(f"r-{self.asked}", f"/{path}/1", 10,
                                          SimpleNamespace(body_chunked=False, deadline_ms=DEADLINE_MS, program=False,
                                                          expects_continue=False, sent_part=1, caller_sends=0,
                                                          caller_reads=0), limit=LATEST_S + 5)
            connection.close()
            if answer.status == 200:
                return answer
            await asyncio.sleep(0.3)
        return answer

    async def wait_until_served(self):
        for _ in range(100):
            if (await self.ask("order")).status == 200:
                return True
        return False

    def faults_of_process(self):
        print(f"    {self.watch.peak_kb // 1024} of {MEMORY_MB} MB")
        if self.watch.killed:
            yield f"killed at {self.watch.peak_kb // 1024} MB of {MEMORY_MB}"
        if not self.gateway.alive():
            yield f"the process has ended: {self.gateway.process.returncode}"


async def play_target(site, case):
    faults = []
    for it in site.hostile:
        it.form = case.form
    crowd = [asyncio.create_task(site.ask(HOSTILE_ROUTES[n % len(HOSTILE_ROUTES)])) for n in range(CALLERS)]
    await asyncio.sleep(0.1)
    ordinary = [await site.ask("order", TRIES) for _ in range(ORDINARY)]
    answers = await asyncio.gather(*crowd)
    served = sum(it.status == 200 and it.whole for it in ordinary)
    print(f"    {served} of {ORDINARY} ordinary requests served, "
          f"the longest of the others took {max(it.took_s for it in answers):.1f} s")
    if served < ORDINARY:
        faults.append(f"{served} of {ORDINARY} ordinary requests served")
    successes = [it for it in answers if it.status // 100 == 2 and it.whole]
    if successes:
        faults.append(f"{len(successes)} callers got a whole success")
    late = [it for it in answers if it.took_s > LATEST_S]
    if late:
        faults.append(f"{len(late)} callers had no answer after {LATEST_S} s")
    return faults


async def play_store(site, case):
    faults = []
    site.store.form = case.form
    end = hostile.now() + hostile.HostileStore.LENGTH_S
    statuses = []
    while hostile.now() < end:
        statuses.append((await site.ask("order")).status)
    site.store.form = None
    served = statuses.count(200)
    print(f"    {served} of {len(statuses)} requests served meanwhile")
    if served < SERVED_BESIDE_STORE * len(statuses):
        faults.append(f"{served} of {len(statuses)} requests served beside the store")
    return faults


async def play_site(case, build):
    with tempfile.TemporaryDirectory() as folder:
        site = Site(build, folder)
        try:
            await site.start()
            if not await site.wait_until_served():
                return ["nothing served at the start"]
            watching = asyncio.create_task(site.watch.run())
            print(f"{case.name}:")
            faults = await (play_target if isinstance(case, TargetCase) else play_store)(site, case)
            if site.gateway.alive() and not await site.wait_until_served():
                faults.append("nothing served afterwards")
            if site.gateway.alive():
                held = await held_at_rest(site.gateway)
                faults += [f"held at rest: {held}"] if held else []
            watching.cancel()
            return faults + list(site.faults_of_process())
        finally:
            await site.fleet.stop()


async def play(case, build):
    return await (play_site if isinstance(case, (TargetCase, StoreCase)) else play_stop)(case, build)


CASES = [*map(TargetCase, hostile.ENDLESS_ANSWERS), *map(StoreCase, hostile.STORE_FORMS), *STOPS]

if __name__ == "__main__":
    sys.exit(run_cases(__doc__, CASES, play, lambda case, wanted: case.name == wanted))
