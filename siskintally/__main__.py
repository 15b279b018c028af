"""Runs the command line for ``python -m siskintally``."""

from siskintally.main import run

if __name__ == "__main__":
    run()
