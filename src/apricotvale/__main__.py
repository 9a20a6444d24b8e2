"""`python -m apricotvale` is the command."""

from apricotvale.cli import main

main()
