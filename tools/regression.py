#!/usr/bin/env python3
"""Plays the deployments that later changes must not harm, and compares each with the last results on record.

Usage: tools/regression.py BENCH SYSTEM [--only NAME ...] [--jobs N] [--record]

BENCH is the program that plays deployments, SYSTEM the folder with their site files. A deployment fails if its gate does, or
if its mean worth over the days with trouble is further below the recorded one than a play's spread. `--record` writes the
results of this run to bench/results/worth.csv in place of the recorded ones.
"""

import argparse
import csv
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
RECORD = ROOT / "bench" / "results" / "worth.csv"
DEPLOYMENTS = {
    "avv-lineside-large": "large/avv-lineside-large.toml",
    "pfcc-depot": "further/pfcc-depot.toml",
    "pfcc-depot-grown": "further-grown/pfcc-depot-grown.toml",
    "avv-lineside-grown": "grown/avv-lineside-grown.toml",
    "uprs-sluzby-grown": "grown/uprs-sluzby-grown.toml",
    "avv-lineside-now-grown": "shifted/avv-lineside-now-grown.toml",
}
DAY = re.compile(r"^((?:quiet|trouble|scale)-\d+)\s+\S+\s+\S+\s+(-?[\d.]+)", re.M)
# How far a mean may lie below the recorded one.
TOLERANCE = 0.03


def read_record():
    """The recorded worth of each day by deployment."""
    record = {}
    if RECORD.exists():
        with RECORD.open(newline="") as file:
            for row in csv.DictReader(file):
                record.setdefault(row["deployment"], {})[row["day"]] = float(row["worth"])
    return record


def write_record(record):
    with RECORD.open("w", newline="") as file:
        table = csv.writer(file, lineterminator="\n")
        table.writerow(["deployment", "day", "worth"])
        for deployment, days in sorted(record.items()):
            table.writerows([deployment, day, f"{worth:.3f}"] for day, worth in days.items())


def mean_of_troubled(days):
    """The mean over the days with trouble; nothing if there are none."""
    worths = [worth for day, worth in days.items() if not day.startswith("quiet")]
    return sum(worths) / len(worths) if worths else None


def play(bench, site, jobs):
    """Scores one deployment: the worth of each day, whether the gate passed, and the whole output."""
    command = [bench, "score", str(site), "--jobs", str(jobs), "--why", "regression run"]
    text = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False).stdout
    return {day: float(worth) for day, worth in DAY.findall(text)}, "GATE passed" in text, text


def judge(days, passed, recorded):
    """Why a deployment fails, or nothing."""
    if not passed:
        return "the gate failed"
    mean, before = mean_of_troubled(days), mean_of_troubled(recorded)
    if mean is None:
        return "no day was played"
    if before is not None and mean < before - TOLERANCE:
        return f"{before - mean:.3f} below the record"
    return None


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("system", type=pathlib.Path)
    parser.add_argument("--only", nargs="+", choices=sorted(DEPLOYMENTS))
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--record", action="store_true")
    given = parser.parse_args()
    record = read_record()
    failed = False
    for name in given.only or DEPLOYMENTS:
        days, passed, text = play(given.bench, given.system / DEPLOYMENTS[name], given.jobs)
        recorded = record.get(name, {})
        fault = judge(days, passed, recorded)
        failed = failed or fault is not None
        print(f"{name}: {fault or 'held'}")
        for day, worth in days.items():
            print(f"  {day}: {worth:.3f} (recorded: {recorded.get(day, '-')})")
        if not passed:
            print(text)
        if days:
            record[name] = days
    if given.record:
        write_record(record)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
