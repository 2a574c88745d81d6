#!/usr/bin/env python3
"""Plays days that repeat one or two kinds of trouble of a site several times.

  scripts/draw-days.py BENCH SITE_FILE DAYS [--seed N] [--kinds KIND,...] [--jobs N]

Draws DAYS days by seed (N, N + 1, ...) from the site's own list of troubles,
plays each with the same seed and prints a line a play: seed, kinds, verdict.
Day files and outputs stay in the folder that it names. Ends non-zero when a
play breaks a rule or does not run.
"""

import argparse
import pathlib
import random
import re
import subprocess
import sys
import tempfile
import tomllib

# Kinds that stand under `plan` in a day; all others are faults.
PLANNED = {
    "big_config", "config_change", "config_storm", "evacuate", "hup", "release",
    "revoke", "roll_term", "rollout_bad", "rollout_good", "scale_in",
    "scale_out",
}
# Two of these at a time contradict each other.
ONCE = {"rollout_bad", "rollout_good"}
FIRST_S, LAST_S, LENGTH_S = 3.0, 26.0, 36.0
MOST_TIMES = 6


def toml_value(value):
    return f'"{value}"' if isinstance(value, str) else str(value).lower()


def entry_text(entry):
    fields = ", ".join(f"{key} = {toml_value(value)}"
                       for key, value in entry.items())
    return f"  {{ {fields} }},"


def draw_day(troubles, kinds, seed):
    """Returns the kinds of the day and its text."""
    draw = random.Random(seed)
    usable = [t for t in troubles if t["kind"] not in ONCE
              and (not kinds or t["kind"] in kinds)]
    chosen = draw.sample(usable, min(len(usable), draw.choice([1, 1, 2])))
    entries = {"plan": [], "faults": []}
    for trouble in chosen:
        group = "plan" if trouble["kind"] in PLANNED else "faults"
        for _ in range(draw.randint(2, MOST_TIMES)):
            at = round(draw.uniform(FIRST_S, LAST_S), 2)
            entries[group].append({"at": at} | trouble)
    lines = [f'name = "repeated-{seed}"', f"length_s = {LENGTH_S}"]
    for group, items in entries.items():
        items.sort(key=lambda entry: entry["at"])
        lines += [f"{group} = [", *map(entry_text, items), "]"]
    return [t["kind"] for t in chosen], "\n".join(lines) + "\n"


def play(arguments, folder, seed, text):
    """Returns the verdict of one play, and whether it kept all rules."""
    day = folder / f"{seed}.toml"
    day.write_text(text)
    run = subprocess.run(
        [arguments.bench, "run", arguments.site, str(day), "--seed", str(seed),
         "--jobs", str(arguments.jobs), "--why", "day of repeated troubles"],
        capture_output=True, text=True, check=False)
    (folder / f"{seed}.txt").write_text(run.stdout + run.stderr)
    row = re.search(rf"^repeated-{seed} .*$", run.stdout, re.MULTILINE)
    if run.returncode != 0 or row is None:
        return "did not run", False
    broken = re.search(r"BROKEN: .*", row[0])
    worth = re.search(r"^worth (\S+)", run.stdout, re.MULTILINE)
    verdict = broken[0] if broken else "no rule broken"
    return f"worth {worth[1] if worth else '?'}, {verdict}", broken is None


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("days", type=int)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kinds", default="")
    parser.add_argument("--jobs", type=int, default=1)
    arguments = parser.parse_args()
    troubles = tomllib.loads(pathlib.Path(arguments.site).read_text())["troubles"]
    kinds = set(filter(None, arguments.kinds.split(",")))
    folder = pathlib.Path(tempfile.mkdtemp(prefix="days-"))
    print(f"days and outputs in {folder}", flush=True)
    all_kept = True
    for seed in range(arguments.seed, arguments.seed + arguments.days):
        names, text = draw_day(troubles, kinds, seed)
        verdict, kept = play(arguments, folder, seed, text)
        print(f"seed {seed}: {'+'.join(names)}: {verdict}", flush=True)
        all_kept = all_kept and kept
    return 0 if all_kept else 1


if __name__ == "__main__":
    sys.exit(main())
