"""Entry point of ``python -m poplaryard``."""

from .cli import main

main()
