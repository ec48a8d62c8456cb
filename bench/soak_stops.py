"""Planned stops of the soak: clients use a host until its process is gone, and get answers."""

import signal
import time
from threading import Lock, Thread

from standins import ClientPace, EntryHosts, PersistentClients

CLIENTS_PER_STOP = 4
#: Clients whose requests are held up on their way by some tenths of a second.
HELD_CLIENTS_PER_STOP = 8
#: Seconds between two requests of one client, at most.
CLIENT_PAUSE_SECONDS = 0.2
#: Seconds between two requests of a client whose requests are held up, and for which they are, at
#: most. Its connection is idle to the host for long enough to be closed while a request is on its
#: way.
HELD_CLIENT_PAUSE_SECONDS = 1.0
HOLD_SECONDS = 0.5
#: Seconds before a stop within which an unplanned fault of the host excuses cut requests.
CALM_SECONDS = 3.0


class SoakStops:
    """Stops hosts while clients use kept connections, and checks that no request is cut."""

    def __init__(self, hosts: EntryHosts, seed: int) -> None:
        """Use client requests that ``seed`` determines."""
        self._hosts = hosts
        self._seed = seed
        self._lock = Lock()
        self._threads: list[Thread] = []
        self._disturbed_at_by_host: dict[str, float] = {}
        #: Requests of these clients that were answered or refused.
        self.answered = 0
        self.violations: list[str] = []

    def record_disturbance(self, host: str) -> None:
        """Record an unplanned fault of a host's process, or its end."""
        self._disturbed_at_by_host[host] = time.monotonic()

    def stop(self, host: str) -> None:
        """Stop a host that runs, and watch its clients until its process is gone."""
        process = self._hosts.process_by_name[host]
        if process.poll() is not None:
            return
        clients = PersistentClients(
            self._hosts.client_address_of(host),
            lambda: process.poll() is not None,
            f'{self._seed}/{len(self._threads)}',
        )
        clients.start(_make_paces())
        stopped_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        thread = Thread(target=self._check_exchanges, args=(host, clients, stopped_at))
        self._threads.append(thread)
        thread.start()

    def check_results(self) -> list[str]:
        """Return the violations, once all clients have ended."""
        for thread in self._threads:
            thread.join()
        return self.violations

    def _check_exchanges(self, host: str, clients: PersistentClients, stopped_at: float) -> None:
        exchanges = clients.join()
        cut = [exchange for exchange in exchanges if exchange.is_cut]
        disturbed_at = self._disturbed_at_by_host.get(host, 0)
        with self._lock:
            self.answered += sum(exchange.status > 0 for exchange in exchanges)
            if disturbed_at >= stopped_at - CALM_SECONDS:
                return
            self.violations.extend(
                f'{host} cut {exchange.path} {exchange.ended_at - exchange.sent_at:.2f} s after it '
                f'was sent, {exchange.sent_at - stopped_at:.2f} s after SIGTERM, '
                f'held up for {exchange.held_seconds:.2f} s'
                for exchange in cut
            )


def _make_paces() -> list[ClientPace]:
    steady = [ClientPace(pause=CLIENT_PAUSE_SECONDS) for _ in range(CLIENTS_PER_STOP)]
    held = ClientPace(pause=HELD_CLIENT_PAUSE_SECONDS, hold=HOLD_SECONDS)
    return [*steady, *(held for _ in range(HELD_CLIENTS_PER_STOP))]
