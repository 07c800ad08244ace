"""What callers saw and what targets ran, and the promises that both must agree with."""

import hashlib
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import wire

TOKENS_PER_EVENT = 10
MOST_EVENTS = 6
# Kinds of requests that are answered by events: turns that are kept, and plans, which are not and may be resumed.
STREAMS = ("turn", "plan")
MOST_TOKENS = TOKENS_PER_EVENT * MOST_EVENTS
# The paths of requests under which targets end.
POISON = "/lookup/poison-"
# The most targets that one attempt may reach, and that may end under one content while gateways hear of each other.
MOST_ATTEMPTS = 2
MOST_ENDS = 3
# From a draining target's entry to the last request that may reach it.
DRAIN_S = 2.0


@dataclass
class Turn:
    previous: str
    text: str


def events_of(request_id):
    """An engine's answer follows from the request's id, so that everybody can tell a wrong one."""
    count = 1 + hashlib.md5(request_id.encode()).digest()[0] % MOST_EVENTS
    return [f"{request_id}-{n}" for n in range(1, count + 1)]


def stream_of(request_id):
    return "".join(f"id: {n}\ndata: {data}\n\n" for n, data in enumerate(events_of(request_id), 1)).encode()


def answer_of(request_id):
    return f"answer to {request_id}".encode()


@dataclass
class Ledger:
    turns: dict = field(default_factory=dict)
    whole: set = field(default_factory=set)
    runs: Counter = field(default_factory=Counter)
    once_only: set = field(default_factory=set)
    refused: dict = field(default_factory=dict)
    handed_out: Counter = field(default_factory=Counter)
    budgets: dict = field(default_factory=dict)
    draining: dict = field(default_factory=dict)
    planned_only: bool = False
    # The seed plays all kinds of programs and faults.
    wide: bool = False
    # The seed plays requests under which targets end.
    poison: bool = False
    # How often targets ended, by the path of the request.
    ends: Counter = field(default_factory=Counter)
    gateways: int = 1
    faults: list = field(default_factory=list)
    by_kind: dict = field(default_factory=lambda: defaultdict(Counter))

    def broken(self, promise, what):
        self.faults.append(f"{promise}: {what}")

    def prompt_of(self, request_id):
        turn = self.turns[request_id]
        if not turn.previous:
            return turn.text
        outputs = "".join(it + "\n" for it in events_of(turn.previous))
        return self.prompt_of(turn.previous) + outputs + turn.text

    def on_run(self, target, request_id, body, now):
        """A target begins to work on a request."""
        self.runs[request_id] += 1
        if request_id in self.once_only and self.runs[request_id] > 1:
            self.broken("twice", f"{request_id} ran {self.runs[request_id]} times")
        if request_id in self.refused:
            self.broken("not run", f"{request_id} ran at {target} after its refusal with {self.refused[request_id]}")
        if request_id in self.turns and body.decode() != self.prompt_of(request_id):
            self.broken("history", f"{request_id} reached {target} with another prompt than its chain's")
        since = self.draining.get(target)
        if self.planned_only and since is not None and now > since + DRAIN_S:
            self.broken("drain", f"{request_id} reached {target} {now - since:.1f} s after it began to leave")

    def on_end(self, target, path, request_id):
        """A target ends under a request."""
        self.ends[path] += 1
        # Gateways that are killed, paused or cut off from each other each find out by themselves.
        most = MOST_ENDS if self.planned_only else MOST_ENDS * self.gateways
        if self.ends[path] > most:
            self.broken("repeats", f"{path} ended {self.ends[path]} targets, the last one {target} by {request_id}")
        if self.runs[request_id] > MOST_ATTEMPTS:
            self.broken("repeats", f"{request_id} was sent {self.runs[request_id]} times")

    def on_answer(self, kind, request_id, program, answer):
        """A caller's request has ended; an answer with status 0 is none."""
        status = answer.status
        self.by_kind[kind][status if answer.whole else f"{status} cut"] += 1
        if status in wire.NOT_RUN and answer.whole:
            self.refused[request_id] = status
            if self.runs[request_id]:
                self.broken("not run", f"{request_id} was refused with {status} and had run")
        if status == 400 and kind != "poison":
            self.broken("repeats", f"{request_id} was refused with 400")
        if status in (404, 410) and (kind != "turn" or self.turns[request_id].previous):
            self.broken("lost", f"{request_id} got {status}")
        if kind in STREAMS and status == 200:
            self.handed_out[program] += TOKENS_PER_EVENT * answer.body.count(b"data: ")
            if self.handed_out[program] > self.budgets[program] + MOST_TOKENS:
                self.broken("budget", f"{program} got {self.handed_out[program]} of {self.budgets[program]}")
        if status == 200:
            self.check_answer(kind, request_id, answer)
        if self.planned_only and not answer.whole and self.runs[request_id]:
            self.broken("graceful stop", f"{request_id} reached a target and was not answered whole")

    def check_answer(self, kind, request_id, answer):
        expected = stream_of(request_id) if kind in STREAMS else answer_of(request_id)
        if wire.SIGNATURE not in answer.headers:
            self.broken("whole answers", f"{request_id} got a success without the target's mark")
        if answer.whole and answer.body != expected:
            self.broken("whole answers", f"{request_id} got {answer.body[:80]!r}")
        if not answer.whole and not expected.startswith(answer.body):
            self.broken("whole answers", f"{request_id} got pieces in another order: {answer.body[:80]!r}")
        if answer.whole and kind == "turn":
            self.whole.add(request_id)
