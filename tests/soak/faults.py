"""Faults in series that overlap, drawn from a seed."""

import asyncio
import random
import signal

import wire
from proxy import Mode

# Longer than the pause in which a gateway looks for the store, shorter than a caller's patience in all.
LONGEST_S = 4.0
# What another writer makes of an entry.
FOREIGN = [{"state": "gone"}, {"slots": "8"}, {"service": 7}, {"address": None}, {"born": "yesterday"}, {"sequence": {}}]
SPOILS = [Mode.DELAY, Mode.SILENT, Mode.UP_LOST, Mode.DOWN_LOST, Mode.RESET]


class Faults:
    def __init__(self, fleet, targets, ledger, seed):
        self.fleet, self.targets, self.ledger = fleet, targets, ledger
        self.random = random.Random(f"faults {seed}")
        self.running = set()
        self.said = []

    def span(self):
        return self.random.uniform(0.2, LONGEST_S)

    async def spoil(self, proxies):
        mode, span = self.random.choice(SPOILS), self.span()
        for it in proxies:
            it.set_mode(mode)
        await asyncio.sleep(span)
        for it in proxies:
            it.heal()

    async def cut_store(self):
        count = self.random.choice([1, 1, len(self.fleet.gateways)])
        await self.spoil([it.store for it in self.random.sample(self.fleet.gateways, count)])

    async def cut_target(self):
        await self.spoil([self.random.choice(self.targets).proxy])

    async def pause_store(self):
        await self.pause(self.fleet.platform)

    async def pause_gateway(self):
        await self.pause(self.random.choice(self.fleet.gateways))

    async def pause(self, process):
        span = self.span()
        process.send(signal.SIGSTOP)
        await asyncio.sleep(span)
        process.send(signal.SIGCONT)

    async def kill_gateways(self):
        count = self.random.choice([1, 1, 2, len(self.fleet.gateways)])
        span = self.random.uniform(0.1, 1.5)
        killed = [it for it in self.random.sample(self.fleet.gateways, count) if it.alive()]
        await asyncio.gather(*(it.end(signal.SIGKILL) for it in killed))
        await asyncio.sleep(span)
        await asyncio.gather(*(it.start() for it in killed))

    async def lose_answers(self):
        target, span = self.random.choice(self.targets), self.span()
        target.lose_answers = 0.3
        await asyncio.sleep(span)
        target.lose_answers = 0.0

    async def start_target_again(self):
        """A target crashes and starts again under its name."""
        target = self.random.choice(self.targets)
        target.start_again()
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        await wire.put_row(self.fleet.store_port, "servers", target.name, target.entry("ready"))

    async def write_foreign_row(self):
        """Another writer's row stands where a target's stood, or beside them."""
        target, span = self.random.choice(self.targets), self.span()
        name = self.random.choice([target.name, "another"])
        entry = target.entry("ready") | self.random.choice(FOREIGN)
        await wire.put_row(self.fleet.store_port, "servers", name, entry)
        await asyncio.sleep(span)
        await wire.put_row(self.fleet.store_port, "servers", target.name, target.entry("ready"))

    async def stop_gateway(self):
        """Planned: told to stop, it ends by itself, and is started again."""
        gateway = self.random.choice(self.fleet.gateways)
        code = await gateway.end(signal.SIGTERM)
        if self.ledger.planned_only and code != 0:
            self.ledger.broken("graceful stop", f"{gateway.name} ended with {code}")
        await gateway.start()

    async def reload_gateway(self):
        """Planned: the settings are read again."""
        self.random.choice(self.fleet.gateways).send(signal.SIGHUP)

    async def drain_target(self):
        """Planned: a target says that it leaves, and comes back later."""
        target = self.random.choice(self.targets)
        if target.name in self.ledger.draining:
            return
        await wire.put_row(self.fleet.store_port, "servers", target.name, target.entry("draining"))
        self.ledger.draining[target.name] = asyncio.get_running_loop().time()
        await asyncio.sleep(4.0)
        del self.ledger.draining[target.name]
        await wire.put_row(self.fleet.store_port, "servers", target.name, target.entry("ready"))

    async def run(self, until):
        planned = [self.stop_gateway, self.reload_gateway, self.drain_target]
        unplanned = [self.cut_store, self.cut_target, self.pause_store, self.pause_gateway, self.kill_gateways,
                     self.lose_answers]
        if self.ledger.wide:
            unplanned += [self.start_target_again, self.write_foreign_row]
        kinds = planned if self.ledger.planned_only else planned[:2] + unplanned
        loop = asyncio.get_running_loop()
        start = loop.time()
        while loop.time() < until:
            kind = self.random.choice(kinds)
            self.said.append(f"{loop.time() - start:.1f} s {kind.__name__}")
            task = asyncio.create_task(kind())
            self.running.add(task)
            await asyncio.sleep(self.random.uniform(0.2, 1.2))
        await asyncio.gather(*self.running)
