"""The real programs: the stand-in of the platform and the gateways, each a process, and the signals that they get."""

import asyncio
import os
import random
import signal
import socket
from dataclasses import dataclass

from proxy import Proxy

SETTINGS = """node = "{node}"
failure_domain = "here"
[listen]
callers = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
peers = "127.0.0.1:{peers}"
metrics = "127.0.0.1:{metrics}"
[store]
address = "127.0.0.1:{store}"
row_bytes = 65536
[limits]
memory_mb = {memory_mb}
max_descriptors = {max_descriptors}
cores = 1
stop_grace_s = 8
"""


@dataclass(frozen=True)
class Limits:
    """What a gateway may use, as its settings state it."""

    memory_mb: int = 64
    max_descriptors: int = 40000


# Below the ports that the system gives to outgoing connections, which would take one between a gateway's restarts.
LISTEN_PORTS = range(15000, 32000)


# Each is given out once: a port that is not listened on yet looks free.
UNUSED_PORTS = random.sample(LISTEN_PORTS, len(LISTEN_PORTS))


def free_ports(count):
    ports = []
    while len(ports) < count:
        port = UNUSED_PORTS.pop()
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                ports.append(port)
            except OSError:
                continue  # In use by others: another one is taken.
    return ports


class Process:
    """One program; only processes started here are ever signalled, by their ids."""

    def __init__(self, command, log):
        self.command, self.log = command, log
        self.process = None
        self.starting = asyncio.Lock()

    async def start(self):
        """Starts it unless it runs: faults that overlap may both want it back."""
        async with self.starting:
            if not self.alive():
                with open(self.log, "ab") as log:
                    self.process = await asyncio.create_subprocess_exec(*self.command, stdout=log, stderr=log)

    def send(self, number):
        if self.alive():
            try:
                os.kill(self.process.pid, number)
            except ProcessLookupError:
                pass  # It has just ended.

    def alive(self):
        return self.process is not None and self.process.returncode is None

    async def end(self, number, limit=12.0):
        """Signals, waits for the end, and kills what is still there at the limit.
        @return the exit code, or None if it had to be killed"""
        process = self.process
        self.send(signal.SIGCONT)
        self.send(number)
        try:
            return await asyncio.wait_for(process.wait(), limit)
        except asyncio.TimeoutError:
            self.send(signal.SIGKILL)
            await process.wait()
            return None


class Gateway(Process):
    def __init__(self, build, folder, number, store_port, limits):
        self.limits = limits
        self.callers, self.readiness, self.peers, self.metrics = free_ports(4)
        self.store = Proxy(store_port)
        self.settings = f"{folder}/gateway-{number}.toml"
        self.name = f"gateway-{number}"
        super().__init__([f"{build}/masticcourse-gateway", self.settings], f"{folder}/gateway-{number}.log")

    async def prepare(self):
        await self.store.start()
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(node=self.name, store=self.store.port, callers=self.callers,
                                       readiness=self.readiness, peers=self.peers, metrics=self.metrics,
                                       memory_mb=self.limits.memory_mb, max_descriptors=self.limits.max_descriptors))
        await self.start()


class Fleet:
    def __init__(self, build, folder, gateways, limits=Limits()):
        self.store_port = free_ports(1)[0]
        self.platform = Process([f"{build}/users-platform", f"127.0.0.1:{self.store_port}"], f"{folder}/platform.log")
        self.gateways = [Gateway(build, folder, n, self.store_port, limits) for n in range(gateways)]

    async def start(self):
        await self.platform.start()
        await self.wait_for(self.store_port)
        for it in self.gateways:
            await it.prepare()
        for it in self.gateways:
            await self.wait_for(it.callers)

    @staticmethod
    async def wait_for(port):
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.05)  # Not there yet.
        raise RuntimeError(f"nothing listens on {port}")

    async def stop(self):
        everything = [*self.gateways, self.platform]
        await asyncio.gather(*(it.end(signal.SIGKILL) for it in everything if it.alive()))
