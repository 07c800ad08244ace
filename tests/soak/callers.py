"""Callers: programs of turns and actions through any gateway, that try again as real ones do."""

import asyncio
import random

import ledger as promises
import wire

DEADLINE_MS = 3000
# A caller's patience beyond its deadline: the answer may be on its way.
SLACK_S = 1.0
TRIES = 6


class Caller:
    def __init__(self, name, fleet, ledger, seed):
        self.name, self.fleet, self.ledger = name, fleet, ledger
        self.random = random.Random(f"{seed} {name}")
        self.connections = {}
        self.count = 0

    async def call(self, kind, program, target, headers, body):
        """One attempt, with an id of its own, on a kept connection if there is one."""
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        gateway = self.random.choice(self.fleet.gateways)
        self.ledger.budgets.setdefault(program, 0)
        if kind == "turn":
            self.ledger.turns[request_id] = promises.Turn(headers.get("Masticcourse-Previous-Turn", ""), body)
        if kind not in ("lookup", "plan", "poison"):
            self.ledger.once_only.add(request_id)
        headers = {wire.REQUEST_ID: request_id, "Masticcourse-Program-Id": program,
                   "Masticcourse-Deadline-Ms": str(DEADLINE_MS), **headers}
        try:
            answer = await asyncio.wait_for(self.exchange(gateway, wire.request("POST", target, headers, body.encode())),
                                            DEADLINE_MS / 1000 + SLACK_S)
        except (OSError, asyncio.TimeoutError):
            self.drop(gateway)
            answer = wire.Message()
        self.ledger.on_answer(kind, request_id, program, answer)
        return request_id, answer

    async def exchange(self, gateway, request):
        if gateway.name not in self.connections:
            self.connections[gateway.name] = await asyncio.open_connection("127.0.0.1", gateway.callers)
        reader, writer = self.connections[gateway.name]
        writer.write(request)
        await writer.drain()
        answer = await wire.read_message(reader)
        if not answer.whole or answer.headers.get("connection", "").lower() == "close":
            self.drop(gateway)
        return answer

    def drop(self, gateway):
        if kept := self.connections.pop(gateway.name, None):
            kept[1].close()

    async def turn(self, program, budget, previous):
        """Sends a turn until it is answered whole, its budget is spent, or its tries are over.
        @return the id of the whole turn, or nothing"""
        headers = {"Masticcourse-Token-Budget": str(budget), "Masticcourse-Token-Usage": f"20,{promises.MOST_TOKENS}"}
        if previous:
            headers["Masticcourse-Previous-Turn"] = previous
        for _ in range(TRIES):
            request_id, answer = await self.call("turn", program, "/turn/1", headers, f"{self.name} says {self.count}; ")
            if answer.status == 200 and answer.whole:
                return request_id
            if answer.status == 402:
                return None
            await asyncio.sleep(min(float(answer.headers.get("retry-after", "0.2")), 1.0))
        return None

    async def plans(self, number):
        """A program whose turns are kept by nobody: only its budget ties them together."""
        program = f"{self.name}-q{number}"
        budget = self.random.choice([70, 150, 400])
        self.ledger.budgets[program] = budget
        headers = {"Masticcourse-Token-Budget": str(budget), "Masticcourse-Token-Usage": f"20,{promises.MOST_TOKENS}"}
        at_once = self.random.choice([1, 1, 4])
        for _ in range(self.random.randint(2, 8)):
            ends = await asyncio.gather(*(Caller(f"{self.name}-{number}-{self.count}-{n}", self.fleet, self.ledger, n)
                                          .call("plan", program, "/plan/1", headers, "plan on") for n in range(at_once)))
            self.count += 1
            if all(answer.status == 402 for _, answer in ends):
                return
            await asyncio.sleep(self.random.uniform(0.05, 0.3))

    async def program(self, number):
        """A chain of turns with actions between; some programs run away with turns at once."""
        program = f"{self.name}-p{number}"
        budget = self.random.choice([150, 400, 2000])
        self.ledger.budgets[program] = budget
        previous = ""
        for _ in range(self.random.randint(2, 6)):
            previous = await self.turn(program, budget, previous)
            if not previous:
                return
            action = self.random.choice(["order", "lookup"])
            await self.call(action, program, f"/{action}/1", {}, "an action")
        if self.random.random() < 0.2:
            await asyncio.gather(*(Caller(f"{self.name}-{number}-{n}", self.fleet, self.ledger, n)
                                   .turn(program, budget, previous) for n in range(8)))

    async def poison(self, until):
        """Repeats requests under which targets end, each one more often than it may end them."""
        number = 0
        while asyncio.get_running_loop().time() < until:
            number += 1
            path = f"{promises.POISON}{self.name}-{number}"
            for _ in range(TRIES):
                await self.call("poison", f"{self.name}-x{number}", path, {}, "poison")
                await asyncio.sleep(self.random.uniform(0.0, 0.3))
            await asyncio.sleep(self.random.uniform(0.5, 1.5))

    async def run(self, until):
        number = 0
        while asyncio.get_running_loop().time() < until:
            number += 1
            plans = self.ledger.wide and self.random.random() < 0.6
            await (self.plans(number) if plans else self.program(number))
            await asyncio.sleep(self.random.uniform(0, 0.1))
