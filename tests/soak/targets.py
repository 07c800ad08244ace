"""Targets: engines that stream and desks that answer, with faults on command."""

import asyncio
import random

import ledger as promises
import wire
from proxy import Proxy, reset


# Share of the responses that have neither a length nor chunks and end with their connection.
UNFRAMED = 0.3
# Share of their pieces in which they break off, besides those that a fault asks for.
CUT_UNFRAMED = 0.03


class Target:
    SLOTS = 8

    def __init__(self, ledger, name, service, streams, seed):
        self.ledger, self.name, self.service, self.streams = ledger, name, service, streams
        self.random = random.Random(f"{seed} {name}")
        # Of its own, so that the other draws of a seed stay as they are.
        self.framing = random.Random(f"{seed} {name} framing")
        self.proxy = Proxy()
        self.lose_answers = 0.0
        self.busy = 0
        # The start of the present life, in milliseconds; later ones are greater.
        self.born = 1
        self.connections = set()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.proxy.target_port = server.sockets[0].getsockname()[1]
        await self.proxy.start()

    def entry(self, state):
        return {"service": self.service, "address": f"127.0.0.1:{self.proxy.port}", "zone": "here", "version": "v1",
                "slots": self.SLOTS, "state": state, "coldRemainingMs": 0, "sequence": 1,
                "born": self.born}

    def start_again(self):
        """Ends this life: what runs breaks off, wherever it is. The next one bears the same name."""
        self.born += 1
        for writer in list(self.connections):
            reset(writer)

    async def end(self):
        """Its process ends, and another one takes its place after a while."""
        self.proxy.stop()
        self.start_again()
        await asyncio.sleep(self.random.uniform(0.1, 1.5))
        await self.proxy.start_again()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await wire.read_message(reader)).whole:
                if not await self.answer(request, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass  # The caller left, this life has ended, or the run is over.
        self.connections.discard(writer)
        writer.close()

    async def answer(self, request, writer):
        request_id = request.headers.get(wire.REQUEST_ID, "")
        headers = {wire.REQUEST_ID: request_id}
        if request.headers.get(wire.EXPECT_INSTANCE, self.name) != self.name:
            writer.write(wire.answer(421, headers))
            return True
        if self.busy >= self.SLOTS:
            writer.write(wire.answer(503, headers | {wire.NOT_EXECUTED: "full"}))
            return True
        self.busy += 1
        try:
            return await self.run(request, request_id, headers, writer)
        finally:
            self.busy -= 1

    async def run(self, request, request_id, headers, writer):
        self.ledger.on_run(self.name, request_id, request.body, asyncio.get_running_loop().time())
        if promises.POISON in request.start:
            self.ledger.on_end(self.name, request.start.split()[1], request_id)
            self.ending = asyncio.create_task(self.end())
            return False
        headers |= {wire.SIGNATURE: f"by-{self.name}", "Masticcourse-Instance-Load": f"{self.busy},0,{self.SLOTS}"}
        if self.ledger.wide and self.framing.random() < UNFRAMED:
            return await self.run_unframed(request, request_id, headers, writer)
        if not self.streams:
            await asyncio.sleep(self.random.uniform(0.005, 0.08))
            if self.random.random() < self.lose_answers:
                return False
            writer.write(wire.answer(200, headers, promises.answer_of(request_id)))
            return True
        head = {**headers, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in head.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        after = int(request.headers.get("last-event-id", "0"))
        for event in promises.stream_of(request_id).decode().split("\n\n")[after:-1]:
            await asyncio.sleep(self.random.uniform(0.002, 0.03))
            if self.random.random() < self.lose_answers:
                if self.ledger.wide:
                    part = event[:self.random.randrange(len(event))].encode()
                    writer.write(f"{len(part):x}\r\n".encode() + part + b"\r\n" if part else b"")
                    await writer.drain()
                return False
            piece = (event + "\n\n").encode()
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    async def run_unframed(self, request, request_id, headers, writer):
        """Answers with neither a length nor chunks: an orderly close ends the body, and what breaks off is reset, or a
        stream that ends inside an event."""
        lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        after = int(request.headers.get("last-event-id", "0"))
        body = promises.answer_of(request_id)
        pieces = [it + "\n\n" for it in promises.stream_of(request_id).decode().split("\n\n")[after:-1]]
        for piece in pieces if self.streams else [body.decode()]:
            await asyncio.sleep(self.random.uniform(0.002, 0.03))
            cut_off = not self.ledger.planned_only and self.framing.random() < CUT_UNFRAMED
            if cut_off or self.random.random() < self.lose_answers:
                cut = self.framing.randrange(1, len(piece) - 1)
                writer.write(piece[:cut].encode())
                await writer.drain()
                if not self.streams or self.framing.random() < 0.5:
                    reset(writer)
                return False
            writer.write(piece.encode())
            await writer.drain()
        return False
