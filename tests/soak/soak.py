#!/usr/bin/env python3
"""Runs real gateways against the stand-in of the platform under random faults, and checks what callers and
targets see. One seed is one run; a failing seed prints its faults and keeps its logs."""

import argparse
import asyncio
import pathlib
import tempfile

from callers import Caller
from faults import Faults
from fleet import Fleet
from ledger import Ledger
from targets import Target
import wire

GATEWAYS = 3
CALLERS = 6
FAULTS_S = 8.0
# From the last fault until all turns that were answered whole must be found again.
RECOVERY_S = 12.0
CHECKED_AT_END = 10
# Seeds from there on also play budgets without kept turns, resumed streams, targets that start again under their names
# and rows of other writers. Those below stay as they were when they failed once.
WIDE_SEEDS = 1000
# Seeds from there on also play requests under which targets end.
POISON_SEEDS = 2000
# Gateways share out the right to allow overdrafts within that time of their start.
BUCKETS_S = 5.0
# A run that is not over by then hangs: programs under way at the end of the faults take half a minute at most.
LONGEST_S = 75.0
CONFIG = {"version": 2, "services": [{"name": "model", "engine": {"tokensPerEvent": 10}}, {"name": "desk2"}],
          "routes": [{"name": "turns", "host": wire.HOST, "prefix": "/turn/", "type": "streaming", "timeoutMs": 3000,
                      "service": "model", "maxAttempts": 2, "retentionEnabled": True, "retentionS": 60.0},
                     {"name": "plans", "host": wire.HOST, "prefix": "/plan/", "type": "streaming", "timeoutMs": 3000,
                      "service": "model", "maxAttempts": 2, "resumable": True, "gapTargetMs": 200},
                     {"name": "orders", "host": wire.HOST, "prefix": "/order/", "type": "non_idempotent",
                      "service": "desk2", "timeoutMs": 3000, "maxAttempts": 2},
                     {"name": "lookups", "host": wire.HOST, "prefix": "/lookup/", "type": "idempotent",
                      "service": "desk2", "timeoutMs": 3000, "maxAttempts": 2}]}


async def check_recovery(fleet, ledger, seed):
    """Programs with new ids go on from old turns, through any gateway."""
    caller = Caller("after", fleet, ledger, seed)
    loop = asyncio.get_running_loop()
    until = loop.time() + RECOVERY_S
    for number, previous in enumerate(sorted(ledger.whole)[-CHECKED_AT_END:]):
        program = f"after-p{number}"
        ledger.budgets[program] = 2000
        while not await caller.turn(program, 2000, previous):
            if loop.time() > until:
                ledger.broken("recovery", f"no turn goes on from {previous} {RECOVERY_S} s after the last fault")
                return
            await asyncio.sleep(0.2)


async def run_seed(build, folder, seed):
    ledger = Ledger(planned_only=seed % 4 == 0, wide=seed >= WIDE_SEEDS, poison=seed >= POISON_SEEDS, gateways=GATEWAYS)
    fleet = Fleet(build, folder, GATEWAYS)
    targets = [Target(ledger, f"i-{service}-{n}", service, service == "model", seed)
               for service in ("model", "desk2") for n in range(3)]
    faults = Faults(fleet, targets, ledger, seed)
    try:
        await fleet.start()
        for it in targets:
            await it.start()
            await wire.put_row(fleet.store_port, "servers", it.name, it.entry("ready"))
        await wire.put_row(fleet.store_port, "op", "config", CONFIG)
        # All gateways hear of the configuration and the targets within a second.
        await asyncio.sleep(BUCKETS_S if ledger.wide else 1.0)
        until = asyncio.get_running_loop().time() + FAULTS_S
        callers = [Caller(f"c{n}", fleet, ledger, seed) for n in range(CALLERS)]
        work = [it.run(until) for it in callers]
        if ledger.poison:
            work.append(Caller("x", fleet, ledger, seed).poison(until))
        await asyncio.wait_for(asyncio.gather(faults.run(until), *work), LONGEST_S)
        await check_recovery(fleet, ledger, seed)
    finally:
        await fleet.stop()
    if ledger.poison and not ledger.ends:
        ledger.broken("service", "no target ended under a request")
    if not ledger.whole:
        ledger.broken("service", "no turn was answered whole")
    return ledger, faults


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build", help="where the programs are")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--list", type=int, nargs="+", help="these seeds instead")
    options = parser.parse_args()
    failed = []
    for seed in options.list or range(options.seed, options.seed + options.seeds):
        folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        ledger, faults = asyncio.run(run_seed(pathlib.Path(options.build).resolve(), folder, seed))
        kinds = {kind: dict(ends) for kind, ends in ledger.by_kind.items()}
        print(f"seed {seed}: {len(faults.said)} faults, {len(ledger.whole)} whole turns, {kinds}", flush=True)
        if ledger.faults:
            failed.append(seed)
            print(f"seed {seed} FAILED, logs in {folder}")
            print("\n".join([f"  {it}" for it in ledger.faults[:10] + faults.said]), flush=True)
    print(f"failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
