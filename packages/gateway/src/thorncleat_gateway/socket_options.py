"""Options of the sockets behind transports.

Owns: nothing.
Relies on: transports of TCP connections.
"""

import asyncio
import socket
import struct

# Value of SO_LINGER (on, 0 seconds), with which closing a connection resets it.
LINGER_RESET = struct.pack("ii", 1, 0)


def abort_with_reset(transport: asyncio.Transport) -> None:
    """Close a connection with a reset, which drops the data that isn't sent yet."""
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is not None and not transport.is_closing():
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


def is_reset(transport: asyncio.Transport) -> bool:
    """Return whether the other side has reset a connection, though bytes of it may be unread."""
    tcp_socket = transport.get_extra_info("socket")
    return tcp_socket is not None and bool(
        tcp_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    )
