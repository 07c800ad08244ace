#!/usr/bin/env python3
"""What the path through entry and target process adds to a model call, over calling the stand-in engine directly.

Usage: bench/path_cost.py ENGINE ENTRY TOKEN SERVICE [CALLS]; tools/path_cost.sh starts what it needs. Sequential calls of
one program over one connection each; prints medians in milliseconds, their differences and the ratio.
"""
import http.client
import json
import statistics
import sys
import time


def timed(connection, path, body, headers):
    """Sends a streamed request; returns the time to its first event and to its end, in milliseconds."""
    begun = time.perf_counter()
    connection.request("POST", path, json.dumps(body), {"Accept": "text/event-stream", **headers})
    response = connection.getresponse()
    first = response.read(1)
    to_first = time.perf_counter() - begun
    text = (first + response.read()).decode()
    to_end = time.perf_counter() - begun
    if response.status != 200 or "problem" in text:
        raise RuntimeError(text)
    return to_first * 1e3, to_end * 1e3


def direct(engine, calls):
    """Prompts that grow as the program's history does, so that the engine computes the same on both ways."""
    connection = http.client.HTTPConnection(engine)
    prompt, times = [], []
    for n in range(calls):
        prompt = [*prompt, f"path cost {n}"]
        body = {"program": "path-cost", "prompt": prompt, "max_tokens": 4, "stream_id": f"path-{n}"}
        times.append(timed(connection, "/v1/completions", body, {}))
        prompt.append("an answer")
    return times


def through(entry, token, service, calls):
    connection = http.client.HTTPConnection(entry)
    headers = {"Authorization": f"Bearer {token}"}
    connection.request("POST", "/v1/programs", json.dumps({"budget": 200000}), headers)
    program = json.loads(connection.getresponse().read())["program"]
    times = []
    for n in range(calls):
        body = {"service": service, "input": f"path cost {n}", "max_tokens": 4}
        times.append(timed(connection, f"/v1/programs/{program}/calls", body,
                           {**headers, "Idempotency-Key": f"call-{n}"}))
    return times


def main():
    engine, entry, token, service = sys.argv[1:5]
    calls = int(sys.argv[5]) if len(sys.argv) > 5 else 100
    rows = {"direct": direct(engine, calls), "through": through(entry, token, service, calls)}
    medians = {name: [statistics.median(column) for column in zip(*times)] for name, times in rows.items()}
    for index, what in enumerate(("first token", "whole answer")):
        one, other = medians["direct"][index], medians["through"][index]
        print(f"{what}: direct {one:.2f} ms, through {other:.2f} ms, added {other - one:.2f} ms, ratio {other / one:.2f}")


if __name__ == "__main__":
    main()
