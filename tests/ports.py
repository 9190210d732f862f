"""Ports for real processes, reserved among the test runs of one machine."""

import fcntl
import os
import pathlib
import socket
import tempfile

__all__ = ["reserve_ports"]

# Range of the ports; from 32768 on the kernel assigns them to connections.
FIRST_PORT, LAST_PORT = 20_000, 32_000
_LOCKS = pathlib.Path(tempfile.gettempdir()) / f"poplaryard-ports-{os.getuid()}"
# Open files hold the locks until this process ends.
_held = []


def reserve_ports(count):
    """Return ports that no other test run uses until this process ends.

    A port that is only free when it is chosen may be taken by another run before the
    process that is to use it listens, or while that process is being replaced.
    """
    _LOCKS.mkdir(exist_ok=True)
    ports = []
    for port in range(FIRST_PORT, LAST_PORT):
        if len(ports) == count:
            return ports
        lock = (_LOCKS / str(port)).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind(("127.0.0.1", port))
        except OSError:
            lock.close()
            continue
        _held.append(lock)
        ports.append(port)
    raise OSError(f"fewer than {count} free ports")
