"""Runs the daemon: ``python -m thorncleat_daemon``."""

from .main import main

main()
