"""Runs the command line with `python -m oleanderbay`."""

from oleanderbay.cli import main

if __name__ == "__main__":
    raise SystemExit(main.main())
