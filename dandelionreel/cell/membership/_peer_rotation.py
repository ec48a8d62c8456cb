"""Chooses the peers that are asked for a newer configuration. No I/O.

Load pattern: the store refuses some hosts for seconds while others are down or have left for good,
so that few peers know the newest configuration.
"""

import random
from collections.abc import Callable, Sequence

#: Peers that are asked in one round, and the factor by which their number grows with each further
#: round in the first rotation after a confirmation.
MIN_PEERS_AT_ONCE = 3
FIRST_GROWTH = 2

Shuffle = Callable[[list[str]], None]


class PeerRotation:
    """Asks the host that confirmed last first, then each other one before any is asked again."""

    def __init__(self, shuffle: Shuffle = random.shuffle) -> None:
        """Start with no host asked; ``shuffle`` orders the hosts of each rotation."""
        self._shuffle = shuffle
        #: ``None`` before a rotation that is not due to the end of another one.
        self._unasked_hosts: list[str] | None = None
        self._confirming_host = ''
        self._count = MIN_PEERS_AT_ONCE
        self._growth = FIRST_GROWTH

    def choose_peers(self, hosts: Sequence[str]) -> list[str]:
        """Return the hosts to ask in the next round.

        Each round without a confirmation doubles their number, until all have been asked. If none
        of them has confirmed, the store is likely down for all, and few are asked at once.
        """
        known = set(hosts)
        chosen = [self._confirming_host] if self._confirming_host in known else []
        if self._unasked_hosts is not None and not self._unasked_hosts:
            self._growth = 1
        unasked = [host for host in self._unasked_hosts or () if host in known - set(chosen)]
        if not unasked:
            unasked = [host for host in hosts if host not in chosen]
            self._shuffle(unasked)
            self._count = MIN_PEERS_AT_ONCE
        count = self._count - len(chosen)
        self._unasked_hosts = unasked[count:]
        self._count *= self._growth
        return chosen + unasked[:count]

    def record_confirmation(self, host: str) -> None:
        """Record that a host has confirmed the configuration in this round."""
        self._confirming_host = host
        self._count = MIN_PEERS_AT_ONCE
        self._growth = FIRST_GROWTH

    def record_failure(self, host: str) -> None:
        """Record that a host did not reply, or cannot confirm anything."""
        if self._confirming_host != host:
            return
        # What the others know may have changed as well since they were asked.
        self._confirming_host = ''
        self._unasked_hosts = None
        self._growth = FIRST_GROWTH
