"""What a process takes of its machine while it is under test."""

import asyncio
import os
import signal
from pathlib import Path


class ProcessWatch:
    """Looks at a process until it is cancelled, and kills it above its limit of memory, as platforms do."""

    INTERVAL_S = 0.005

    def __init__(self, process, memory_mb):
        self.process, self.limit_kb = process, memory_mb * 1024
        self.process_id = process.process.pid
        self.peak_kb = 0
        self.peak_descriptors = 0
        self.killed = False

    async def run(self):
        while True:
            self.look()
            if self.peak_kb > self.limit_kb and not self.killed:
                self.killed = True
                self.process.send(signal.SIGKILL)
            await asyncio.sleep(self.INTERVAL_S)

    def look(self):
        folder = Path(f"/proc/{self.process_id}")
        try:
            lines = (folder / "status").read_text(encoding="utf-8").splitlines()
            resident = next((int(it.split()[1]) for it in lines if it.startswith("VmRSS:")), 0)
            self.peak_kb = max(self.peak_kb, resident)
            self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(folder / "fd")))
        except OSError:
            pass  # The process has ended.
