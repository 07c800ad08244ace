#!/usr/bin/env python3
"""Plays deployments with one mechanism of the gateway switched off at a time, in a scratch copy of the tree.

Usage: tools/ablation.py BENCH COPY OUT SITE... [--only NAME ...]

Each switch is a replacement in one source file that takes the mechanism out and leaves everything else; one that no
longer fits its file ends the run, so that the table never shows a switch that did nothing. The figures are trials.
"""

import argparse
import pathlib
import re
import subprocess
import sys

FORWARD = "src/gateway/forwarded_request"
SWITCHES = {
    "nothing": [],
    "overdrafts": [(f"{FORWARD}_overdraft.cpp", "if (is_retained() || m_reservation",
                    "if (true || is_retained() || m_reservation"),
                   (f"{FORWARD}.cpp", "m_await_reservation && is_retained() &&", "m_await_reservation &&")],
    "affinity": [(f"{FORWARD}_attempts.cpp", "if (m_request.program && is_stream())", "if (false)")],
    "affinity where nothing is kept": [(f"{FORWARD}_attempts.cpp", "if (m_request.program && is_stream())",
                                        "if (m_request.program && is_retained())")],
    "slack of affinity": [("src/gateway/target_choice.cpp", "affinity_slack = 1.0", "affinity_slack = 50.0")],
    "collectors": [("src/gateway/commit_router.cpp",
                    "auto collector = it.unanswered_sends < max_unanswered_sends",
                    "auto collector = it.unanswered_sends < 0")],
    "next collector in rank": [("src/gateway/commit_router.cpp", "        route_refused(std::move(sent));",
                                "        for (auto& it : sent) { it.unanswered_sends = max_unanswered_sends; }\n"
                                "        route(std::move(sent));")],
    "own domain first": [("src/gateway/target_choice.cpp", "cross_domain_penalty = 0.5", "cross_domain_penalty = 0.05"),
                         ("src/gateway/target_choice.cpp", "if (!std::ranges::all_of(targets, is_cross_domain))", "if (false)")],
    "domain of the last turn": [(f"{FORWARD}_attempts.cpp", "m_chain.domain.value.empty()", "true")],
    "reads from collectors": [("src/gateway/collected_rows.cpp", "if (!query.allow_cached)", "if (true)")],
    "relay through peers": [("platform/store_relay.cpp",
                             "pending->peers = m_peers.choose(max_peers, monotonic_now(), m_last_relay);",
                             "pending->peers.clear();")],
    "waiting through outages": [(f"{FORWARD}.cpp", "m_await_reservation && is_retained() &&", "is_retained() &&")],
    "avoidance after failures": [("src/gateway/target_choice.cpp",
                                  "return it->backoff_until > now;", "return it->backoff_until > now + seconds{60};")],
    "first write without a read": [("src/gateway/program_spending.cpp",
                                    "entry.version == 0 && request.first_turn", "false && request.first_turn")],
    "wait of settlements": [("src/gateway/program_spending.cpp", "settlement_flush_delay{300}", "settlement_flush_delay{1}")],
    "sending before the reservation": [("src/gateway/program_spending.cpp", "headroom_turns = 3;", "headroom_turns = 1'000;")],
    "resuming of streams": [("include/masticcourse/gateway/route_table.hpp",
                             "(kind == request_kind::stream && resumable)", "(false && resumable)")],
    "repeated store calls": [("platform/row_store_client.cpp", "max_hedged_attempts = 3;", "max_hedged_attempts = 0;")],
}


def apply(copy, replacements):
    for path, old, new in replacements:
        file = copy / path
        text = file.read_text()
        if old not in text:
            sys.exit(f"{path} does not hold {old!r}")
        file.write_text(text.replace(old, new))


def restore(tree, copy, replacements):
    for path, _, _ in replacements:
        (copy / path).write_text((tree / path).read_text())


def play(bench, copy, site, name):
    done = subprocess.run([bench, "score", site, "--jobs", "4", "--why", f"trial: ablation, without {name}"],
                          cwd=copy, capture_output=True, text=True, check=False)
    rows = re.findall(r"^(quiet|trouble|scale)(-\d) +\S+ +\S+ +(-?[\d.]+)", done.stdout, re.M)
    gate = "passed" if "GATE passed" in done.stdout else "failed"
    broken = sorted(set(re.findall(r"BROKEN: (\w+)", done.stdout)))
    return {kind + number: float(worth) for kind, number, worth in rows}, " ".join([gate, *broken])


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("copy", type=pathlib.Path)
    parser.add_argument("out", type=pathlib.Path)
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--only", nargs="+", default=list(SWITCHES))
    given = parser.parse_args()
    tree = pathlib.Path(__file__).resolve().parent.parent
    for name in given.only:
        restore(tree, given.copy, SWITCHES[name])
        apply(given.copy, SWITCHES[name])
        for site in given.sites:
            worth, gate = play(given.bench, given.copy, site, name)
            troubled = [value for day, value in worth.items() if not day.startswith("quiet")]
            mean = sum(troubled) / len(troubled) if troubled else float("nan")
            with given.out.open("a") as out:
                days = " | ".join(f"{worth[day]:.3f}" for day in worth)
                print(f"| {name} | {pathlib.Path(site).stem} | {days} | {mean:.3f} | {gate} |", file=out, flush=True)
        restore(tree, given.copy, SWITCHES[name])


if __name__ == "__main__":
    main()
