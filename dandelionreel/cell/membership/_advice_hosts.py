"""Chooses the hosts that send calls to the policy service. No I/O."""

from collections.abc import Callable, Collection, Iterable

from dandelionreel.kernel import Clock

#: Seconds for which a host whose call failed gets calls only if no other host is free.
BACKOFF_SECONDS = 2.0
#: Share of hosts that may be busy with non-urgent requests: those take a second each, and urgent
#: requests would wait for them.
NON_URGENT_SHARE = 0.75


class AdviceHosts:
    """The hosts of the cell, each of which has at most one call in progress."""

    def __init__(
        self, own_host: str, get_members: Callable[[], Collection[str]], clock: Clock
    ) -> None:
        """Prefer ``own_host``, as its calls need no message to a peer."""
        self._own_host = own_host
        self._get_members = get_members
        self._clock = clock
        self._busy_hosts: set[str] = set()
        #: Hosts that are busy with a non-urgent request.
        self._non_urgent_hosts: set[str] = set()
        self._backoff_until_by_host: dict[str, float] = {}
        #: Number of calls in a row that failed.
        self._failures_by_host: dict[str, int] = {}

    @property
    def free_non_urgent_hosts(self) -> int:
        """Return how many more hosts may be busy with non-urgent requests."""
        limit = max(1, int(NON_URGENT_SHARE * len(self._get_members())))
        return limit - len(self._non_urgent_hosts)

    def list_free_hosts(self) -> list[str]:
        """Return the hosts without a call, the most reliable ones first."""
        free = [host for host in self._all_hosts() if host not in self._busy_hosts]
        return sorted(free, key=self._reliability_key)

    def has_reliable_host(self, excluded: Collection[str]) -> bool:
        """Return whether another host, busy or not, has not failed recently."""
        return any(
            host not in excluded and not self.is_in_backoff(host) for host in self._all_hosts()
        )

    def is_in_backoff(self, host: str) -> bool:
        """Return whether a call of the host failed recently."""
        return self._backoff_until_by_host.get(host, 0) > self._clock.monotonic()

    def count_failures(self, host: str) -> int:
        """Return how many calls of the host failed in a row."""
        return self._failures_by_host.get(host, 0)

    def mark_busy(self, host: str, *, urgent: bool) -> None:
        """Note that a call is sent through the host."""
        self._busy_hosts.add(host)
        if not urgent:
            self._non_urgent_hosts.add(host)

    def release(self, host: str) -> None:
        """Note that the host's call is over."""
        self._busy_hosts.discard(host)
        self._non_urgent_hosts.discard(host)

    def record_answer(self, host: str) -> None:
        """Note that the host got an answer."""
        self._failures_by_host.pop(host, None)
        self._backoff_until_by_host.pop(host, None)

    def record_failure(self, host: str) -> None:
        """Note that the host's call failed or is overdue, and forget hosts that are gone."""
        known = set(self._all_hosts())
        for gone in self._failures_by_host.keys() - known:
            self._failures_by_host.pop(gone)
            self._backoff_until_by_host.pop(gone)
        if host not in known:
            return
        self._failures_by_host[host] = self.count_failures(host) + 1
        self.extend_backoff(host)

    def extend_backoff(self, host: str) -> None:
        """Begin the backoff of a host that has failed anew."""
        if host in self._failures_by_host:
            self._backoff_until_by_host[host] = self._clock.monotonic() + BACKOFF_SECONDS

    def _all_hosts(self) -> Iterable[str]:
        yield self._own_host
        yield from (host for host in self._get_members() if host != self._own_host)

    def _reliability_key(self, host: str) -> tuple[float, int]:
        """Return a sort key: hosts in backoff are last, the one that failed last at the end.

        A host that has failed since its last answer comes after those that have not, so that
        it does not delay one request after each backoff.
        """
        backoff_until = self._backoff_until_by_host.get(host, 0)
        if backoff_until <= self._clock.monotonic():
            backoff_until = 0
        return backoff_until, self.count_failures(host)
