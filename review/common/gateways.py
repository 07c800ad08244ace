"""Starts gateways as the platform does: the command of the deploy file, with the template of the settings
filled in. Each gateway gets a loopback address of its own, since its ports are fixed."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PEER_PORT = 7380
METRICS_PORT = 9464


def fill_template(text, fields):
    """Placeholders and sections as DEPLOY.md tells them, as far as the template of this project uses them."""

    def find(path):
        value = fields
        for step in path.split("."):
            value = value[int(step)] if isinstance(value, list) else (value or {}).get(step)
        return value

    def section(match):
        value = find(match[1])
        return "" if value in (None, False) else match[2].replace("{{.}}", str(value))

    def placeholder(match):
        path, _, form = match[1].partition("|")
        value = find(path)
        return json.dumps(value) if form == "json" else "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", placeholder, text)


def free_network():
    """@return the first three numbers of loopback addresses on which nothing listens at the fixed ports"""
    while True:
        network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        with socket.socket() as peers, socket.socket() as metrics:
            try:
                peers.bind((f"{network}.1", PEER_PORT))
                metrics.bind((f"{network}.1", METRICS_PORT))
                return network
            except OSError:
                continue


class Gateway:
    def __init__(self, folder, name, ip, zone, store_address, fields):
        self.name, self.ip, self.zone, self.folder = name, ip, zone, folder
        self.frontend, self.readiness = (ip, 8149), (ip, 8141)
        self.settings = {
            "nodeName": name,
            "ip": ip,
            "zone": zone,
            "listen": {"frontend": f"{ip}:8149", "readiness": f"{ip}:8141"},
            "internalPorts": [PEER_PORT, PEER_PORT + 15],
            "platform": {"address": store_address, "rowBytes": 65536},
            "contracts": ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"],
        } | fields
        self.process = None

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        file = Path(self.folder) / f"{self.name}.toml"
        file.write_text(fill_template((ROOT / role["template"]).read_text(), self.settings))
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with open(Path(self.folder) / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment | {"MASTICCOURSE_BOOT": str(file)},
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        if self.alive():
            os.kill(self.process.pid, number)

    async def is_ready(self):
        """The platform's question, once."""
        try:
            reader, writer = await asyncio.open_connection(*self.readiness)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit=15):
        for _ in range(limit * 20):
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def end(self):
        if self.alive():
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()
