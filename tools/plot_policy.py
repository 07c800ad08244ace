#!/usr/bin/env python3
"""Draws one figure of a policy_bench CSV over load, one line per system, as SVG.

usage: plot_policy.py loads.csv MIX COLUMN out.svg
"""
import csv
import sys

WIDTH, HEIGHT, LEFT, TOP, RIGHT, BOTTOM = 640, 360, 60, 30, 190, 45
COLOURS = ["#888888", "#c26a00", "#007f5f", "#6a4fb3", "#c2185b"]


def scale(value, low, high, start, end):
    return start + (value - low) / (high - low) * (end - start)


def main(path, mix, column, out):
    with open(path, newline="", encoding="utf-8") as file:
        rows = [row for row in csv.DictReader(file) if row["mix"] == mix]
    systems = list(dict.fromkeys(row["system"] for row in rows))
    loads = sorted({float(row["load"]) for row in rows})
    top = max(float(row[column]) for row in rows) * 1.05 or 1
    x_of = lambda load: scale(load, loads[0], loads[-1], LEFT, WIDTH - RIGHT)
    y_of = lambda value: scale(value, 0, top, HEIGHT - BOTTOM, TOP)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        'font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<text x="{LEFT}" y="18">{mix}: {column} by load</text>',
    ]
    for load in loads:
        parts.append(f'<text x="{x_of(load):.1f}" y="{HEIGHT - 22}" text-anchor="middle">{load}</text>')
    for tick in range(5):
        value = top * tick / 4
        parts.append(f'<line x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y_of(value):.1f}" y2="{y_of(value):.1f}" stroke="#ddd"/>')
        parts.append(f'<text x="{LEFT - 6}" y="{y_of(value) + 4:.1f}" text-anchor="end">{value:.4g}</text>')
    for number, system in enumerate(systems):
        points = sorted((float(row["load"]), float(row[column])) for row in rows if row["system"] == system)
        line = " ".join(f"{x_of(x):.1f},{y_of(y):.1f}" for x, y in points)
        colour = COLOURS[number % len(COLOURS)]
        parts.append(f'<polyline points="{line}" fill="none" stroke="{colour}" stroke-width="2"/>')
        y = TOP + 16 * number + 10
        parts.append(f'<text x="{WIDTH - RIGHT + 12}" y="{y}" fill="{colour}">{system}</text>')
    parts.append("</svg>\n")
    with open(out, "w", encoding="utf-8") as file:
        file.write("\n".join(parts))


if __name__ == "__main__":
    if len(sys.argv) != 5:
        sys.exit(__doc__)
    main(*sys.argv[1:])
