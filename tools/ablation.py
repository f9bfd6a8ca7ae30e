#!/usr/bin/env python3
"""Plays days with single mechanisms switched off and writes what each is worth.

    tools/ablation.py play --bench PROGRAM --rows FILE --dirs N --why TEXT SITE:DAY:SEED...
    tools/ablation.py table --rows FILE

`play` makes N clones of this repository under target/ablation and plays each day in them, as it is and
without each mechanism that the program names; a row that is in FILE already is not played again. `table`
prints the differences as Markdown.
"""

import argparse
import concurrent.futures
import csv
import json
import pathlib
import queue
import shutil
import statistics
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
ROLE = "target/release/dragonflywall node"
FIELDS = ["without", "site", "day", "seed", "worth", "served", "refused", "failed", "p99_ms", "rules"]
BASE = ""


def mechanisms():
    """The names that the page of mechanisms lists; a test holds it to the program's."""
    page = (ROOT / "docs/reference/mechanisms.md").read_text()
    rows = [line.split("`") for line in page.splitlines() if line.startswith("| `")]
    return [row[1] for row in rows]


def clone(number):
    """A clone of the committed code with a build of its own."""
    directory = ROOT / "target" / "ablation" / str(number)
    if not directory.exists():
        subprocess.run(["git", "clone", "-q", str(ROOT), str(directory)], check=True)
        built = ROOT / "target" / "release"
        if built.exists():
            shutil.copytree(built, directory / "target" / "release", symlinks=True)
    return directory


def play(directory, options, without, site, day, seed):
    """Plays one day; returns its row."""
    deploy = directory / "deploy" / "system.toml"
    text = (ROOT / "deploy" / "system.toml").read_text()
    if without:
        text = text.replace(ROLE, f"{ROLE} --without {without}")
    deploy.write_text(text)
    report = directory / "target" / "report.json"
    report.unlink(missing_ok=True)
    why = f"ablation, without {without or 'nothing'}: {options.why}"
    command = [options.bench, "run", site, day, "--seed", seed, "--no-cpu", "--jobs", "1"]
    command += ["--report", str(report), "--why", why]
    done = subprocess.run(command, cwd=directory, capture_output=True, text=True)
    if not report.exists():
        sys.exit(f"{site} {day} {seed} without {without}: {done.stdout}{done.stderr}")
    read = json.loads(report.read_text())
    name = pathlib.Path(site).stem
    rules = " ".join(read["breaks"])
    return [without, name, day, seed, read["G"], read["served"], read["refused"], read["failed"],
            read["all"]["p99_ms"], rules]


def play_all(options):
    known = set()
    if options.rows.exists():
        with options.rows.open() as rows:
            known = {(row["without"], row["site"], row["day"], row["seed"]) for row in csv.DictReader(rows)}
    days = [day.rsplit(":", 2) for day in options.days]
    names = [BASE, *(options.only.split(",") if options.only else mechanisms())]
    wanted = [(name, *day) for day in days for name in names]
    wanted = [(name, site, *day) for name, site, *day in wanted
              if (name, pathlib.Path(site).stem, *day) not in known]
    free = queue.SimpleQueue()
    for number in range(options.dirs):
        free.put(clone(number))

    def play_one(day):
        directory = free.get()
        try:
            return play(directory, options, *day)
        finally:
            free.put(directory)

    new = not options.rows.exists()
    with options.rows.open("a", newline="") as file:
        rows = csv.writer(file, lineterminator="\n")
        if new:
            rows.writerow(FIELDS)
        with concurrent.futures.ThreadPoolExecutor(options.dirs) as pool:
            for number, row in enumerate(pool.map(play_one, wanted), 1):
                rows.writerow(row)
                file.flush()
                print(f"{number} of {len(wanted)}: {row}", file=sys.stderr, flush=True)


def table(options):
    with options.rows.open() as file:
        rows = list(csv.DictReader(file))
    of_day = {(row["without"], row["site"], row["day"], row["seed"]): row for row in rows}
    sites = sorted({row["site"] for row in rows})
    print("| without | " + " | ".join(f"{site}: worth | served | refused | p99 ms" for site in sites) + " |")
    print("|---" * (1 + 4 * len(sites)) + "|")
    for name in dict.fromkeys(row["without"] for row in rows):
        if name == BASE:
            continue
        cells = [f"`{name}`"]
        for site in sites:
            cells += differences(of_day, name, site)
        print("| " + " | ".join(cells) + " |")


def differences(of_day, name, site):
    """Mean differences of the days of one site, of worth with their spread, and the rules broken."""
    pairs = [(row, of_day[(BASE, *key[1:])]) for key, row in of_day.items()
             if key[0] == name and key[1] == site and (BASE, *key[1:]) in of_day]
    if not pairs:
        return ["not run", "", "", ""]

    def each(field):
        return [float(row[field]) - float(base[field]) for row, base in pairs]

    worth = each("worth")
    spread = f" ± {statistics.stdev(worth):.3f}" if len(worth) > 1 else ""
    broken = " ".join(sorted({row["rules"] for row, _ in pairs if row["rules"]}))
    return [f"{statistics.mean(worth):+.3f}{spread}{' ' + broken if broken else ''}",
            f"{statistics.mean(each('served')):+.3f}", f"{statistics.mean(each('refused')):+.3f}",
            f"{statistics.mean(each('p99_ms')):+.0f}"]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = parser.add_subparsers(dest="verb", required=True)
    player = verbs.add_parser("play")
    player.add_argument("--bench", required=True, help="the program that plays a day")
    player.add_argument("--rows", required=True, type=pathlib.Path, help="CSV file that rows are added to")
    player.add_argument("--dirs", type=int, default=2, help="days at a time")
    player.add_argument("--why", required=True, help="a line for the journal")
    player.add_argument("--only", help="these mechanisms alone, commas between them")
    player.add_argument("days", nargs="+", metavar="SITE:DAY:SEED")
    tabler = verbs.add_parser("table")
    tabler.add_argument("--rows", required=True, type=pathlib.Path)
    options = parser.parse_args()
    match options.verb:
        case "play":
            play_all(options)
        case "table":
            table(options)


if __name__ == "__main__":
    main()
