#!/usr/bin/env python3
"""Draws a variant of a deployment's site file, so that a policy can be weighed on deployments that nobody has seen.

    scripts/vary-site.py SITE OUT --seed N

The seed decides which of these change, and by how much: traffic (0.5 to 1.3 times), the time of an engine's step (0.8 to
1.6 times), the tokens that an engine keeps (0.5 to 1.5 times), the beginnings of prompts that there are (0.3 to 3 times),
and whether routes are bound to regions. Names in the file stay, as the bench draws those on the wire anew for each day. The
file is changed as text, so that all else in it, and its order, stays as it is. What was drawn is printed.
"""

import argparse
import pathlib
import random
import re
import sys


def scaled(text: str, key: str, factor: float, whole: bool = False) -> str:
    """The text with every number behind `key = ` multiplied."""

    def replace(match: re.Match) -> str:
        value = float(match.group(2)) * factor
        return f"{match.group(1)}{max(1, round(value)) if whole else round(value, 4)}"

    return re.sub(rf"(\b{key} = )([0-9.]+)", replace, text)


def vary(text: str, seed: int) -> tuple[str, dict[str, object]]:
    """A variant of a site file, and what was drawn for it."""
    draw = random.Random(seed)
    drawn: dict[str, object] = {
        "traffic": round(draw.uniform(0.5, 1.3), 2),
        "step": round(draw.uniform(0.8, 1.6), 2),
        "kept tokens": round(draw.uniform(0.5, 1.5), 2),
        "beginnings": round(draw.choice([0.3, 0.6, 1.0, 2.0, 3.0]), 2),
        "bound to regions": draw.random() < 0.5,
    }
    text = scaled(text, "per_s", float(drawn["traffic"]))
    text = scaled(text, "step_ms", float(drawn["step"]))
    text = scaled(text, "kv_tokens", float(drawn["kept tokens"]), whole=True)
    text = scaled(text, "things", float(drawn["beginnings"]), whole=True)
    if not drawn["bound to regions"]:
        text = re.sub(r", homes = \[[^\]]*\]", "", text)
    return text, drawn


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("out", type=pathlib.Path)
    parser.add_argument("--seed", type=int, required=True)
    arguments = parser.parse_args()
    text, drawn = vary(arguments.site.read_text(), arguments.seed)
    arguments.out.write_text(text)
    print(arguments.out, drawn)
    return 0


if __name__ == "__main__":
    sys.exit(main())
