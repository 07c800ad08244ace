"""Single requests of clients that do nothing else: within the limits, beyond them, and with forged trailers."""

from dataclasses import dataclass, field

import payloads
import wire


@dataclass
class Exchange:
    """One request of a client that does nothing else, and what comes of it."""

    name: str
    data: bytes
    status: int = 200
    # What the target gets, if the request reaches it: the size of the body, fields that it has and has not.
    size: int = 0
    fields: dict = field(default_factory=dict)
    absent: list = field(default_factory=list)


SINGLE = "single"
BODY = b"b" * 5000
LONG_BODY = b"c" * 300_000
FORGED = {"Host": "other.example", "Authorization": "Basic eDp5", wire.REQUEST_ID: "another", "X-Api-Key": "k",
          "Masticcourse-Deadline-Ms": "77", "Masticcourse-Program-Id": "p", "Masticcourse-Token-Budget": "5",
          "Masticcourse-Affinity-Key": "a", "X-Trailer": "t"}
FORGED_LINES = [f"{k}: {v}" for k, v in FORGED.items()]
WITHOUT_ID = f"POST /order/1 HTTP/1.1\r\nHost: {wire.HOST}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()


def chunked(*parts):
    return payloads.chunked_head(SINGLE) + b"".join(parts)


# What 64 bits hold at most.
LARGEST = 2**63 - 1


def turn_of(tokens, budget=1000):
    return payloads.head(SINGLE, "Masticcourse-Program-Id: program", f"Masticcourse-Token-Budget: {budget}",
                         f"Masticcourse-Token-Usage: 10,{tokens}", "Content-Length: 0", path="/turn/1")


def is_forwarded(body):
    """What the target gets of a request whose trailers say something else."""
    return {"size": len(body), "fields": {wire.REQUEST_ID: SINGLE, "host": wire.HOST},
            "absent": ["authorization", "masticcourse-program-id", "masticcourse-affinity-key", "x-trailer", "trailer"]}


EXCHANGES = [
    Exchange("trailers are not taken for headers",
             chunked(payloads.chunks(BODY, 1000), payloads.last_chunk(*FORGED_LINES)), **is_forwarded(BODY)),
    Exchange("trailers of a long body are not taken for headers",
             chunked(payloads.chunks(LONG_BODY, 1000), payloads.last_chunk(*FORGED_LINES)), **is_forwarded(LONG_BODY)),
    Exchange("a trailer does not close the connection", chunked(
        payloads.chunks(BODY, 1000), payloads.last_chunk("Connection: close")), size=len(BODY)),
    Exchange("an id in a trailer is none",
             WITHOUT_ID + payloads.chunks(BODY, 1000) + payloads.last_chunk(f"{wire.REQUEST_ID}: {SINGLE}"), status=400),
    Exchange("a length in a trailer is refused",
             chunked(payloads.chunks(BODY, 1000), payloads.last_chunk("Content-Length: 5")), status=400),
    Exchange("a second host is refused", payloads.head(SINGLE, "Host: other.example", "Content-Length: 0"), status=400),
    Exchange("a second id is refused",
             payloads.head(SINGLE, f"{wire.REQUEST_ID}: another", "Content-Length: 0"), status=400),
    Exchange("extensions and trailers within the limits are served",
             chunked(payloads.chunks(BODY, 1000, ";e=" + "x" * 500), payloads.last_chunk(
                 "T: " + "t" * 15_000, extension=";last")), size=len(BODY)),
    Exchange("extensions and trailers of a long body are served",
             chunked(payloads.chunks(LONG_BODY, 30_000, ";e=" + "x" * 500), payloads.last_chunk(
                 *["a:b"] * 1000, extension=";last")), size=len(LONG_BODY)),
    Exchange("chunks of one byte are served", chunked(payloads.chunks(BODY, 1), payloads.last_chunk()), size=len(BODY)),
    Exchange("a header of many fields is served", payloads.head(SINGLE, "Content-Length: 0", *["a:b"] * 2500)),
    Exchange("trailers beyond the limit are refused",
             chunked(payloads.chunks(BODY, 1000), payloads.last_chunk(*["a:b"] * 20_000)), status=431),
    Exchange("an extension beyond the limit is refused",
             chunked(payloads.chunks(BODY, 1000), b"1;e=" + b"x" * 40_000), status=431),
    Exchange("extensions beyond the limit together are refused",
             chunked(payloads.chunks(BODY, 10, ";e=" + "x" * 500)), status=431),
    Exchange("a chunk's size without end is refused",
             chunked(payloads.chunks(BODY, 1000), b"0" * 40_000), status=431),
    Exchange("a turn of 1 MB is served", payloads.turn(SINGLE, 1_000_000), size=1_000_000),
    Exchange("the longest deadline that a number holds is served",
             payloads.head(SINGLE, "Content-Length: 0", deadline_ms=LARGEST)),
    Exchange("a turn of less than no tokens is refused", turn_of(-LARGEST), status=400),
    Exchange("a turn of more tokens than its budget and any number holds is refused", turn_of(LARGEST // 4 + 1), status=400),
    Exchange("tokens after a space are served", turn_of(" 100")),
    Exchange("a budget that is the largest number is served", turn_of(100, budget=LARGEST)),
    Exchange("an option does not remove the host",
             payloads.head(SINGLE, "Connection: host", "Content-Length: 0"), fields={"host": wire.HOST}),
]
