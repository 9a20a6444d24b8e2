"""Entry point of `python -m apricotvale`."""

from apricotvale.cli import main

main()
