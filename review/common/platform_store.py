"""Stand-in of the platform's store: rows in tables, conditional transactions, a feed. Single threaded, so that
every call takes effect at one moment."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from wire import read_body, response, serve

MAX_ENTRIES = 100
MAX_BYTES = 1_000_000


class Store:
    def __init__(self, tx_s=0.008):
        self.tx_s = tx_s
        self.version = 0
        self.rows = {}  # (table, part, key) -> (value, version)
        self.history = []  # (version, (table, part, key), value or None)
        self.changed = asyncio.Event()
        self.calls = []  # (path, table, port of the caller's own entrance)

    async def listen(self, address, port):
        async def handler(message, reader, writer):
            return await self.handle(message, reader, writer, port)

        return await serve(address, port, handler)

    def put(self, table, part, key, value):
        self.write([(table, part, key, base64.b64encode(value).decode())], [])

    def put_json(self, table, key, document):
        self.put(table, "", key, json.dumps(document).encode())

    def drop(self, table, key):
        self.write([], [(table, "", key)])

    def write(self, puts, removed):
        self.version += 1
        for *name, value in puts:
            self.rows[tuple(name)] = (value, self.version)
            self.history.append((self.version, tuple(name), value))
        for name in removed:
            self.rows.pop(name, None)
            self.history.append((self.version, name, None))
        self.changed.set()
        self.changed = asyncio.Event()

    def get_row(self, table, part, key):
        """@return the value of a row, decoded; nothing if there is none"""
        found = self.rows.get((table, part, key))
        return base64.b64decode(found[0]) if found else None

    async def handle(self, message, reader, writer, entrance):
        await read_body(reader, message)
        url = urlsplit(message.target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        self.calls.append((url.path, query.get("table", ""), entrance))
        if url.path == "/rows-tx":
            await asyncio.sleep(self.tx_s)
            status, document = self.transact(message.body)
        elif url.path == "/rows-get":
            status, document = 200, self.get(query)
        elif url.path == "/rows-feed":
            status, document = 200, await self.feed(query)
        elif url.path == "/rows-parts":
            parts = sorted({part for table, part, _ in self.rows if table == query["table"]})
            status, document = 200, {"parts": parts, "hasMore": False}
        else:
            status, document = 404, {}
        document |= {"ver": self.version, "nowMs": int(asyncio.get_running_loop().time() * 1000)}
        writer.write(response(status, {"Content-Type": "application/json"}, json.dumps(document).encode()))
        await writer.drain()
        return True

    def transact(self, body):
        document = json.loads(body)
        puts, conditions = document.get("puts", []), document.get("precondition", [])
        removed = document.get("remove", [])
        if len(body) > MAX_BYTES or len(puts) + len(conditions) + len(removed) > MAX_ENTRIES:
            return 413, {}
        name = lambda it: (it["table"], it["part"], it["key"])
        if len({it["part"] for it in [*puts, *conditions, *removed]}) > 1:
            return 400, {}
        if any(self.rows.get(name(it), (None, 0))[1] != it["ver"] for it in conditions):
            rows = [self.entry(name(it)) for it in conditions if name(it) in self.rows]
            return 412, {"rows": rows}
        self.write([(*name(it), it["value"]) for it in puts], [name(it) for it in removed])
        return 200, {}

    def entry(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": value, "ver": version}

    def get(self, query):
        wanted = (query["table"], query.get("part", ""))
        first, last = query.get("from", ""), query.get("to", "")
        names = sorted(it for it in self.rows if it[:2] == wanted and it[2] >= first and (not last or it[2] < last))
        limit = min(int(query.get("limit", 500)), 500)
        return {"rows": [self.entry(it) for it in names[:limit]], "hasMore": len(names) > limit}

    async def feed(self, query):
        after, loop = int(query.get("after", 0)), asyncio.get_running_loop()
        until = loop.time() + int(query.get("waitMs", 0)) / 1000
        while True:
            changes = {}
            for version, name, value in self.history:
                if version > after and name[0] == query["table"]:
                    changes[name] = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
                    changes[name] |= {"deleted": True} if value is None else {"value": value}
            left = until - loop.time()
            if changes or left <= 0:
                return {"rows": sorted(changes.values(), key=lambda it: it["ver"])}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
