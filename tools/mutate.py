#!/usr/bin/env python3
"""Breaks one mechanism after another and checks that the test that guards it fails.

Usage: tools/mutate.py COPY [NAME ...]

COPY is a git worktree of its own (git worktree add COPY HEAD --detach): each mutation is made there, built, tested and
taken back. The table is tests/mutations.json. Exits with 1 if a mutation survives.
"""
import json
import pathlib
import subprocess
import sys


def run(command, copy):
    return subprocess.run(command, cwd=copy, shell=True, capture_output=True, text=True, check=False)


def try_mutation(row, copy):
    path = copy / row["file"]
    original = path.read_text()
    if original.count(row["old"]) != 1:
        return "NOT APPLIED: the text stands %d times" % original.count(row["old"])
    path.write_text(original.replace(row["old"], row["new"]))
    try:
        built = run("cmake --build build -j 4 --target unit_tests system-soak soak", copy)
        if built.returncode != 0:
            return "NOT BUILT: " + "\n".join(line for line in built.stdout.splitlines() if "error" in line)[:300]
        return "killed" if run(row["test"], copy).returncode != 0 else "SURVIVED"
    finally:
        path.write_text(original)


def main():
    copy = pathlib.Path(sys.argv[1])
    rows = json.loads((copy / "tests/mutations.json").read_text())
    wanted = sys.argv[2:]
    survived = 0
    run("cmake -S . -B build -G Ninja", copy)
    for row in rows:
        if wanted and row["name"] not in wanted:
            continue
        result = try_mutation(row, copy)
        survived += result != "killed"
        print(f"{row['name']}: {result}", flush=True)
    sys.exit(1 if survived else 0)


if __name__ == "__main__":
    main()
