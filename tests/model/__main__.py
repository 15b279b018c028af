"""Runs the model checker: ``python -m tests.model [ci|large] [write]``.

``write`` puts the results into docs/model-checking.md.
"""

from pathlib import Path
from sys import argv, exit

from siskintally.log import configure_logging
from tests.model.registry import ci_specs, large_specs, mutants
from tests.model.search import search

PAGE = Path("docs/model-checking.md")
# Keeps the memory of a search below 3 GiB.
MAX_STATES = 4_000_000


def specification_rows(specs):
    """Search the specifications and yield table rows; exit on a violation."""
    for spec in specs:
        result = search(spec, max_states=MAX_STATES)
        print(f"{spec.name}: {spec.bounds}: {result}", flush=True)
        if result.violation:
            exit("\n".join(result.trace))
        end = "yes" if result.complete else "no"
        yield (
            f"| {spec.name} | {spec.bounds} | {result.states} | {result.steps} | {result.depth} "
            f"| {result.seconds:.1f} | {end} |"
        )


def mutant_lines():
    """Search the mutants and yield their shortest traces; exit if one is not found."""
    for mutant in mutants():
        spec = mutant.build()
        result = search(spec, max_states=MAX_STATES)
        print(f"mutant {mutant.name!r} in {spec.name}: {result}", flush=True)
        if not result.violation:
            exit("not found")
        yield f"\n### {mutant.name}\n"
        yield f"Specification `{spec.name}` ({spec.bounds}). Found: {result.violation}"
        yield f"({result.states} states, {result.seconds:.1f} s).\n"
        yield from (f"{number}. {label}" for number, label in enumerate(result.trace, 1))


def write(size, lines):
    """Replace the part of the page that holds the results of this size."""
    begin, end = f"<!-- begin {size} -->", f"<!-- end {size} -->"
    text = PAGE.read_text(encoding="utf-8")
    head, rest = text.split(begin)
    tail = rest.split(end)[1]
    body = "\n".join(lines)
    PAGE.write_text(f"{head}{begin}\n{body}\n{end}{tail}", encoding="utf-8")


def main(size, *options):
    """Run the searches of one size; the mutants belong to ``ci``."""
    lines = [
        "| specification | bounds | states | steps | depth | seconds | complete |",
        "| --- | --- | ---: | ---: | ---: | ---: | --- |",
    ]
    lines += specification_rows(large_specs() if size == "large" else ci_specs())
    if size == "ci":
        lines += mutant_lines()
    if "write" in options:
        write(size, lines)


if __name__ == "__main__":
    configure_logging(process="model", level="error")
    main(*(argv[1:] or ["ci"]))
