"""The gateway's program, started as in the deploy file."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

import pytest
from aiohttp import web

from thorncleat_core import clock
from thorncleat_gateway.listeners import Listeners
from thorncleat_gateway.requests import admission
from thorncleat_platform import early_socket
from thorncleat_platform import early_stop
from thorncleat_standins.ports import free_ports

ROOT = pathlib.Path(__file__).parent.parent
# Runs the program and sends SIGHUP at its first import of a package of this repository.
SEND_SIGHUP_AT_START = """
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


def test_sighup_during_the_start_does_not_end_the_process():
    run = ROOT / "platform/run.py"
    completed = subprocess.run(
        [sys.executable, "-c", SEND_SIGHUP_AT_START, str(run)],
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert completed.returncode != -signal.SIGHUP
    assert completed.stdout == b"alive\n"


# Runs the program and sends SIGTERM after the early socket listens, before the main import.
SEND_SIGTERM_AT_START = """
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


def test_sigterm_during_the_start_is_a_planned_stop(tmp_path):
    """Requests on the early socket must be answered before the process ends."""
    ports = dict(zip(("callers", "readiness", "peers", "store"), free_ports(4), strict=True))
    settings = tmp_path / "settings.toml"
    settings.write_text(SETTINGS.format(**ports))
    completed = subprocess.run(
        [sys.executable, "-c", SEND_SIGTERM_AT_START, str(ROOT / "platform/run.py")],
        capture_output=True,
        timeout=30,
        check=False,
        env={**os.environ, "THORNCLEAT_CONFIG": str(settings)},
    )
    assert completed.returncode == 0, completed.stderr
    assert b'"gateway_stopping"' in completed.stdout


# Runs the program with a main import that never ends, and connects a caller to the early socket.
# SIGTERM comes once the caller has sent its request.
NEVER_STARTS = """
import encodings.idna, os, runpy, signal, socket, sys, threading, tomllib
class Told:
    def find_spec(self, name, path=None, target=None):
        if name == "thorncleat_platform.main":
            threading.Thread(target=call, daemon=True).start()
            threading.Event().wait()
def call():
    settings = tomllib.load(open(os.environ["THORNCLEAT_CONFIG"], "rb"))
    host, _, port = settings["listen"]["frontend"].rpartition(":")
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(b"POST / HTTP/1.1\\r\\nHost: h\\r\\nContent-Length: 2\\r\\n\\r\\n{}")
        os.kill(os.getpid(), signal.SIGTERM)
        answer = b""
        while data := caller.recv(65536):
            answer += data
    sys.stderr.write(answer.decode())
    sys.stderr.flush()
sys.meta_path.insert(0, Told())
runpy.run_path(sys.argv[1], run_name="__main__")
"""


def test_stop_does_not_wait_for_the_end_of_the_start(tmp_path):
    """The grace period runs from the order; callers were killed with a program that started."""
    ports = dict(zip(("callers", "readiness", "peers", "store"), free_ports(4), strict=True))
    settings = tmp_path / "settings.toml"
    settings.write_text(SETTINGS.format(**ports))
    completed = subprocess.run(
        [sys.executable, "-c", NEVER_STARTS, str(ROOT / "platform/run.py")],
        capture_output=True,
        timeout=30,
        check=False,
        env={**os.environ, "THORNCLEAT_CONFIG": str(settings)},
    )
    assert completed.returncode == 0, completed.stderr
    assert b"HTTP/1.1 503 " in completed.stderr
    assert b"Retry-After: 0.05" in completed.stderr
    assert completed.stderr.endswith(b"stopping\n")
    assert b'"gateway_stopping"' in completed.stdout


def test_refusal_of_an_interrupted_start_is_that_of_a_planned_stop():
    head, _, body = early_stop.REFUSAL.partition(early_stop.END_OF_HEADERS)
    assert head.startswith(f"HTTP/1.1 {admission.STOPPING.status} ".encode())
    assert f"Retry-After: {admission.STOPPING.retry_after}".encode() in head
    assert f"Content-Length: {len(body)}".encode() in head
    assert body.decode() == admission.STOPPING.cause + "\n"


@pytest.fixture
def restored_handler():
    """Restore the handler of SIGTERM after the test."""
    before = signal.getsignal(signal.SIGTERM)
    yield
    signal.signal(signal.SIGTERM, before)


@pytest.mark.usefixtures("restored_handler")
def test_pending_order_interrupts_the_start():
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
    os.kill(os.getpid(), signal.SIGTERM)
    with pytest.raises(early_stop.StopOrderedError):
        early_stop.StopOrder().interrupt_start()


@pytest.mark.usefixtures("restored_handler")
def test_second_order_does_not_interrupt_the_stop():
    order = early_stop.StopOrder()
    order.interrupt_start()
    with pytest.raises(early_stop.StopOrderedError):
        os.kill(os.getpid(), signal.SIGTERM)
    first_at = order.at
    os.kill(os.getpid(), signal.SIGTERM)
    assert order.at == first_at


@pytest.mark.usefixtures("restored_handler")
def test_order_that_an_import_swallowed_is_not_lost():
    order = early_stop.StopOrder()
    order.give()
    with pytest.raises(early_stop.StopOrderedError):
        order.defer()


@pytest.mark.usefixtures("restored_handler")
def test_order_after_the_imports_is_recorded_with_its_time():
    order = early_stop.StopOrder()
    order.defer()
    before = clock.now()
    os.kill(os.getpid(), signal.SIGTERM)
    assert order.at is not None
    assert before <= order.at <= clock.now()


async def test_caller_that_connects_before_the_gateway_listens_is_served(tmp_path):
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
def test_unusable_address_yields_no_early_socket(text, tmp_path):
    settings = tmp_path / "settings.toml"
    if text is not None:
        settings.write_text(text)
    assert early_socket.listen(settings) is None
