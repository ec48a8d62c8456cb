"""Crowds of clients that do not behave, and what a process holds while they are connected."""

import os
import selectors
import socket
import time
from pathlib import Path

#: Bytes that a client sends at a time where it sends piece by piece.
PIECE_BYTES = 16_384
#: Seconds without progress of any client after which the crowd has sent what it can.
STALL_SECONDS = 1.0
#: Seconds after which a crowd stops sending, whatever the process still takes.
MAX_SECONDS = 4.0
#: Seconds after which a process that reads anything has read some of it.
SETTLE_SECONDS = 0.5
#: One client in so many sends its request to the end.
FINISHING_SHARE = 10
#: Bytes that the others leave out.
MISSING_BYTES = 10
KILOBYTE = 1024


def make_chunks(body, size):
    """Return a body in chunks of ``size`` bytes, with the last chunk."""
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b''.join(b'%x\r\n%b\r\n' % (len(part), part) for part in parts) + b'0\r\n\r\n'


def split(payload):
    """Return the pieces of a payload."""
    return [payload[at : at + PIECE_BYTES] for at in range(0, len(payload), PIECE_BYTES)]


class Crowd:
    """Connections on which clients send what they have, in turns, and read nothing."""

    def __init__(self, address):
        self._address = address
        self._socks = []

    def send(self, payloads):
        """Send a list of pieces on each of as many connections; all of them stay open."""
        selector = selectors.DefaultSelector()
        for pieces in payloads:
            sock = socket.create_connection(self._address, 10)
            sock.setblocking(False)
            self._socks.append(sock)
            if pieces:
                selector.register(sock, selectors.EVENT_WRITE, [memoryview(p) for p in pieces])
        began = time.monotonic()
        moved_at = began
        while selector.get_map() and time.monotonic() < min(
            moved_at + STALL_SECONDS, began + MAX_SECONDS
        ):
            for key, _ in selector.select(STALL_SECONDS):
                moved_at = time.monotonic()
                self._send_piece(selector, key.fileobj, key.data)
        selector.close()

    def close(self):
        """Close all connections."""
        for sock in self._socks:
            sock.close()

    def _send_piece(self, selector, sock, pieces):
        try:
            sent = sock.send(pieces[0])
        except BlockingIOError:
            return
        except OSError:
            selector.unregister(sock)
            return
        pieces[0] = pieces[0][sent:]
        if not pieces[0]:
            pieces.pop(0)
        if not pieces:
            selector.unregister(sock)


class ProcessUsage:
    """Memory and descriptors of a process, with what its sockets hold unread."""

    def __init__(self, process, address):
        self._process = process
        self._local = f'{_encode_address(address[0])}:'

    @property
    def is_alive(self):
        return self._process.poll() is None

    @property
    def peak_bytes(self):
        """Return the largest resident size of the process."""
        return self._read_size('VmHWM')

    @property
    def held_bytes(self):
        """Return the resident size, and the bytes received that the process has not read."""
        return self._read_size('VmRSS') + self._count_unread()

    def wait_until_settled(self):
        """Wait until the process reads nothing more of what it has received."""
        previous = None
        while self.is_alive and previous != (current := self._count_unread()):
            previous = current
            time.sleep(SETTLE_SECONDS)

    @property
    def descriptors(self):
        return len(os.listdir(f'/proc/{self._process.pid}/fd'))

    def _read_size(self, name):
        for line in Path(f'/proc/{self._process.pid}/status').read_text().splitlines():
            if line.startswith(f'{name}:'):
                return int(line.split()[1]) * KILOBYTE
        raise ValueError(f'{name} is not known')

    def _count_unread(self):
        unread = 0
        for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
            fields = line.split()
            # A listener shows the length of its queue in place of unread bytes.
            if fields[1].startswith(self._local) and fields[3] != '0A':
                unread += int(fields[4].partition(':')[2], 16)
        return unread


def _encode_address(address):
    return ''.join(f'{int(part):02X}' for part in reversed(address.split('.')))
