"""The command line of a table of cases that are played one after another."""

import argparse
import asyncio


def run_cases(description, cases, play, is_wanted):
    """@param play a coroutine that plays a case with a build folder and returns its faults
    @param is_wanted whether a case is one that --case asks for
    @return the exit code"""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--build", default="build")
    parser.add_argument("--case", action="append", help="the cases to play; all by default")
    parser.add_argument("--list", action="store_true")
    options = parser.parse_args()
    chosen = [it for it in cases if not options.case or any(is_wanted(it, wanted) for wanted in options.case)]
    if options.list:
        print("\n".join(it.name for it in chosen))
        return 0
    good = bool(chosen)
    for case in chosen:
        faults = asyncio.run(play(case, options.build))
        for fault in faults:
            print(f"{case.name}: FAILED: {fault}")
        good = good and not faults
    return 0 if good else 1
