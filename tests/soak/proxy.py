"""A loopback proxy that spoils the connections through it on command."""

import asyncio
import enum
import socket
import struct


def reset(writer):
    """Resets a connection; without the option, an abort closes it in order."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Mode(enum.Enum):
    PASS = "pass"
    DELAY = "delay"
    # Nothing passes, and nobody is told.
    SILENT = "silent"
    # One way only: what callers send is lost, or what comes back is.
    UP_LOST = "up_lost"
    DOWN_LOST = "down_lost"
    # New connections are reset, open ones too.
    RESET = "reset"


class Proxy:
    DELAY_S = 0.15

    def __init__(self, port=None):
        self.target_port = port
        self.mode = Mode.PASS
        self.writers = set()

    async def start(self):
        # Keeps the port while nothing listens there: connections are refused, and no other process gets it.
        self.reservation = socket.socket()
        self.reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reservation.bind(("127.0.0.1", 0))
        self.port = self.reservation.getsockname()[1]
        await self.start_again()

    def stop(self):
        """New connections are refused, open ones are reset, as if the process behind the address had ended."""
        self.server.close()
        self.reset_all()

    async def start_again(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def set_mode(self, mode):
        self.mode = mode
        if mode is Mode.RESET:
            self.reset_all()

    def heal(self):
        """Connections that lost bytes are no use any more: they break, as they would at last by themselves."""
        spoiled = self.mode not in (Mode.PASS, Mode.DELAY)
        self.mode = Mode.PASS
        if spoiled:
            self.reset_all()

    def reset_all(self):
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.mode is Mode.RESET:
                return
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            self.writers.add(up_writer)
            await asyncio.gather(self.pump(reader, up_writer, Mode.UP_LOST), self.pump(up_reader, writer, Mode.DOWN_LOST))
            self.writers.discard(up_writer)
        except OSError:
            pass  # The other side is not there: the caller's connection breaks, as it would without the proxy.
        finally:
            self.writers.discard(writer)
            reset(writer)

    async def pump(self, reader, writer, lost):
        """Passes on bytes and, if none of them was lost, an orderly close; a reset is passed on as a reset."""
        in_order = False
        spoiled = False
        try:
            while data := await reader.read(65536):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.DELAY_S)
                if self.mode in (Mode.SILENT, lost):
                    spoiled = True
                else:
                    writer.write(data)
                    await writer.drain()
            in_order = not spoiled
        except OSError:
            pass  # Reset by either side; the other is told below.
        finally:
            writer.close() if in_order else reset(writer)
