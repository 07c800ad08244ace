"""What clients that don't behave send: each payload is a generator of the bytes of one connection."""

import zlib

import wire

BLOCK = 64 * 1024
ENDLESS = 8 * 1024 * 1024
# Below the limit of a header in the tests' configuration.
HEADER_PART = 14_000


def head(request_id, *fields, path="/order/1", method="POST", deadline_ms=20000):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {wire.HOST}", f"{wire.REQUEST_ID}: {request_id}",
             f"Masticcourse-Deadline-Ms: {deadline_ms}", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunked_head(request_id, *fields):
    return head(request_id, "Transfer-Encoding: chunked", *fields)


def repeated(data, size=ENDLESS):
    """At least @a size bytes of repeated @a data, in blocks."""
    block = data * (BLOCK // len(data) + 1)
    for _ in range(0, size, len(block)):
        yield block


def after_one_chunk(request_id, begin, data):
    yield chunked_head(request_id) + b"1\r\nx\r\n" + begin
    yield from repeated(data)


def endless_long_trailers(request_id):
    return after_one_chunk(request_id, b"0\r\n", b"T: " + b"x" * 4000 + b"\r\n")


def endless_short_trailers(request_id):
    return after_one_chunk(request_id, b"0\r\n", b"a:b\r\n")


def endless_trailer_line(request_id):
    return after_one_chunk(request_id, b"0\r\nT: ", b"x")


def endless_chunk_extension(request_id):
    return after_one_chunk(request_id, b"1;e=", b"x")


def endless_last_chunk_extension(request_id):
    return after_one_chunk(request_id, b"0;e=", b"x")


def endless_chunk_size(request_id):
    return after_one_chunk(request_id, b"", b"0")


def many_trailers(request_id):
    """They end, and every one is well-formed."""
    yield chunked_head(request_id) + b"1\r\nx\r\n0\r\n" + b"a:b\r\n" * 20_000 + b"\r\n"


def extensions_of_many_chunks(request_id):
    yield chunked_head(request_id)
    yield from repeated(b"1;e=" + b"x" * 12_000 + b"\r\nx\r\n")


def bytes_in_chunks_of_their_own(request_id):
    yield chunked_head(request_id)
    yield from repeated(b"1\r\nx\r\n", 2 * 1024 * 1024)


def many_fields(request_id):
    """A whole request with as many fields as fit into its header."""
    fields = (HEADER_PART - 400) // len("a:b\r\n")
    yield head(request_id, "Content-Length: 0", *["a:b"] * fields, path="/slow/1")


def many_connection_options(request_id):
    """Whole requests, each with many fields and many connection options."""
    options = "Connection: keep-alive," + ",".join(["x"] * (HEADER_PART // 4))
    fields = (HEADER_PART // 2 - 400) // len("a:b\r\n")
    for n in range(100):
        yield head(f"{request_id}-{n}", "Content-Length: 0", options, *["a:b"] * fields)


def pipelined_bytes(request_id):
    """A whole request, and the next one as far as it is read."""
    yield head(request_id, "Content-Length: 0", path="/slow/1") + b"POST /order/1 HTTP/1.1\r\nX-Filler: " + b"x" * 64_000


def many_programs(request_id):
    """Whole turns, each of a program of its own."""
    for n in range(200):
        yield head(f"{request_id}-{n}", f"Masticcourse-Program-Id: {request_id}-{n}", "Masticcourse-Token-Budget: 100000",
                   "Masticcourse-Token-Usage: 10,100", "Content-Length: 0", path="/turn/1")


def many_sessions(request_id):
    """Whole requests, each with other ids and prompts as long as a header allows."""
    for n in range(200):
        prompt = ",".join(f"{zlib.crc32(f'{request_id}-{n}-{k}'.encode()):x}:10" for k in range(60))
        yield head(f"{request_id}-{n}", f"Masticcourse-Session-Id: {request_id}-{n}", f"Masticcourse-Affinity-Key: {n}" * 50,
                   f"X-Api-Key: {request_id}-{n}" + "k" * 8000, f"Masticcourse-Prompt-Prefix: {prompt}",
                   "Masticcourse-Token-Usage: 600,100", "Content-Length: 0")


def long_names(request_id):
    """Whole requests for hosts and paths that nobody has, as long as a header allows, with bytes that logs escape."""
    for n in range(200):
        yield (f"POST /{'%01' * 1500} HTTP/1.1\r\nHost: {chr(0xe9) * 9000}\r\n{wire.REQUEST_ID}: {request_id}-{n}\r\n"
               "Content-Length: 0\r\n\r\n").encode("latin-1")


def pipelined_requests(request_id):
    """Whole requests that are refused or answered at once, one after another, without an end."""
    yield from repeated(head(request_id, "Content-Length: 0", path="/readyz", method="GET"))


# Levels of CBOR: arrays with one element, arrays and strings whose end is marked, maps.
NESTED = [b"\x81", b"\x9f", b"\x5f", b"\x7f", b"\xa1\x60"]
PEER_CALLS = ["/commits", "/rows", "/overdraft", "/quota", "/load", "/feed", "/suspicions"]


def nested_messages(request_id):
    """Whole calls of a peer whose message nests as deep as it is long."""
    for path in PEER_CALLS:
        for level in NESTED:
            body = level * (1_000_000 // len(level))
            yield head(request_id, f"Content-Length: {len(body)}", path=path) + body


def turn(request_id, size, *fields):
    """One whole turn whose history is kept."""
    return head(request_id, "Masticcourse-Program-Id: program", "Masticcourse-Token-Usage: 10,100",
                f"Content-Length: {size}", *fields, path="/turn/1") + b"x" * size


def after(turn_id):
    return f"Masticcourse-Previous-Turn: {turn_id}"


def chain(name, turns, size):
    """Turns that each go on from the one before; sent at once, served one after another."""
    yield turn(f"{name}-0", size)
    for n in range(1, turns):
        yield turn(f"{name}-{n}", size, after(f"{name}-{n - 1}"))


LONG_HISTORY = 100
DEEP_HISTORY = 1100
STORED_TURNS = 500


def long_history(_):
    """20 MB in one chain of turns."""
    return chain("long", LONG_HISTORY, 200_000)


def deep_history(_):
    """More turns in one chain than any program has, each small."""
    return chain("deep", DEEP_HISTORY, 10)


def stored_turns(_):
    """30 MB in turns of their own, whose ids begin with the same letter."""
    for n in range(STORED_TURNS):
        yield turn(f"stored-{n}", 60_000)


def turns_after_a_long_history(request_id):
    yield turn(request_id, 10, after(f"long-{LONG_HISTORY - 1}"))


def turns_after_a_deep_history(request_id):
    yield turn(request_id, 10, after(f"deep-{DEEP_HISTORY - 1}")) + turn(f"{request_id}-1", 10, after("deep-1000"))


def turns_after_a_part_of_an_id(request_id):
    """There is no such turn, but there are many whose ids begin so."""
    yield turn(request_id, 10, after("s"))


def unread_refusals(request_id):
    """Whole requests whose refusals repeat what they said, as long as a header allows, with bytes that JSON escapes."""
    one = (f"GET /none HTTP/1.1\r\nHost: {chr(0xe9) * HEADER_PART}\r\n{wire.REQUEST_ID}: {request_id}\r\n\r\n")
    for _ in range(40):
        yield one.encode("latin-1")


def large_turns(request_id):
    """Whole turns as large as the configuration allows."""
    yield turn(request_id, 4 * 1024 * 1024)


ANSWERED_REQUESTS = 300


def answered_requests(request_id):
    """Whole requests that the target answers at once, with a deadline far beyond that."""
    for n in range(ANSWERED_REQUESTS):
        yield head(f"{request_id}-{n}", "Content-Length: 0")


def part_of_header(request_id):
    yield head(request_id, "X-Filler: " + "x" * HEADER_PART)[:-4]


def unfinished_body(request_id):
    yield head(request_id, f"Content-Length: {4 * 1024 * 1024}")
    yield from repeated(b"x", 4 * 1024 * 1024 - 2 * BLOCK)


def unfinished_chunks(request_id):
    yield chunked_head(request_id)
    yield from repeated(b"1000\r\n" + b"x" * 4096 + b"\r\n", 4 * 1024 * 1024 - 2 * BLOCK)


def unread_responses(request_id):
    yield head(request_id, method="GET", path="/metrics") * 100


def nothing(_):
    yield b""


def chunks(data, size, extension=""):
    """The body @a data in chunks of at most @a size bytes, without its end."""
    parts = (data[n:n + size] for n in range(0, len(data), size))
    return b"".join(b"%x%s\r\n%s\r\n" % (len(it), extension.encode(), it) for it in parts)


def last_chunk(*trailers, extension=""):
    return ("\r\n".join([f"0{extension}", *trailers]) + "\r\n\r\n").encode()
