"""The gateway's program as the deploy file starts it."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

import pytest
from aiohttp import web

from thorncleat_gateway.listeners import Listeners
from thorncleat_platform import early_socket
from thorncleat_standins.ports import free_ports

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


# told to stop once the callers' socket listens, while most of the program isn't imported yet
TOLD_TO_STOP = """
import os, runpy, signal, sys
class Told:
    def find_spec(self, name, path=None, target=None):
        if name == "thorncleat_platform.main":
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.SIGTERM)
sys.meta_path.insert(0, Told())
runpy.run_path(sys.argv[1], run_name="__main__")
"""
SETTINGS = """
node_name = "edge-0"
ip = "127.0.0.1"
zone = "zone-a"
internal_ports = [{peers}, {peers}]
[listen]
frontend = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
[bounds]
revoke_ms = 3000
grace_s = 2.0
stall_ms = 2000
[platform]
address = "127.0.0.1:{store}"
"""


def test_stop_that_is_told_during_the_start_is_a_planned_one(tmp_path):
    """Its callers are answered: the socket that listens early holds some, unread."""
    ports = dict(zip(("callers", "readiness", "peers", "store"), free_ports(4), strict=True))
    settings = tmp_path / "settings.toml"
    settings.write_text(SETTINGS.format(**ports))
    done = subprocess.run(
        [sys.executable, "-c", TOLD_TO_STOP, str(ROOT / "platform/run.py")],
        capture_output=True,
        timeout=30,
        check=False,
        env={**os.environ, "THORNCLEAT_CONFIG": str(settings)},
    )
    assert done.returncode == 0, done.stderr
    assert b'"gateway_stopping"' in done.stdout


async def test_caller_who_connects_before_the_gateway_listens_is_served(tmp_path):
    settings = tmp_path / "settings.toml"
    settings.write_text('[listen]\nfrontend = "127.0.0.1:0"\n')
    listening = early_socket.listen(settings)
    assert listening is not None
    address = listening.getsockname()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    listeners = Listeners()

    async def answer(_request):
        return web.Response(text="served")

    await listeners.open(answer, address, listening)
    assert (await reader.read()).endswith(b"served")
    writer.close()
    await listeners.close()


@pytest.mark.parametrize(
    "text",
    [
        pytest.param(None, id="no file"),
        pytest.param("listen", id="no settings"),
        pytest.param("[listen]", id="no address"),
        pytest.param("listen = 3", id="no table"),
        pytest.param('[listen]\nfrontend = "127.0.0.1:http"', id="no port"),
        pytest.param('[listen]\nfrontend = "192.0.2.1:1"', id="not this machine's address"),
    ],
)
def test_address_that_can_not_be_used_is_left_to_the_check_of_the_settings(text, tmp_path):
    settings = tmp_path / "settings.toml"
    if text is not None:
        settings.write_text(text)
    assert early_socket.listen(settings) is None
