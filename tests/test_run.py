"""The gateway's program as the deploy file starts it."""

import pathlib
import signal
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent
# told to itself where the platform could tell it: after the first lines, before any import of ours
PROBE = """
import os, runpy, signal, sys
class Told:
    def find_spec(self, name, path=None, target=None):
        if name == "thorncleat_platform":
            os.kill(os.getpid(), signal.SIGHUP)
            print("alive", flush=True)
            os._exit(0)
sys.meta_path.insert(0, Told())
runpy.run_path(sys.argv[1], run_name="__main__")
"""


def test_change_of_settings_that_is_told_during_the_start_does_not_end_it():
    run = ROOT / "platform/run.py"
    done = subprocess.run(
        [sys.executable, "-c", PROBE, str(run)], capture_output=True, timeout=30, check=False
    )
    assert done.returncode != -signal.SIGHUP
    assert done.stdout == b"alive\n"
