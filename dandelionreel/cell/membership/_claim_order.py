"""The order in which hosts claim a cell, and which host writes for a zone. No I/O.

Load pattern: the store slows down, or a large cell loses its owner, and every host would append at
once, which makes a slow partition of the topic refuse all of them. So hosts claim one after the
other in an order that each computes from the member list, and one host of a zone writes for the
others.
"""

from collections.abc import Collection, Mapping

from dandelionreel.cell.model import Member

#: Seconds between the claims of two consecutive hosts, longer than one claim takes.
CLAIM_STAGGER_SECONDS = 0.06
#: Longest delay of a claim by rank, in seconds: it applies when all hosts ranked higher are dead.
MAX_CLAIM_DELAY_SECONDS = 0.9
#: Cores that the owner of a large cell needs, and the extra delay of smaller hosts, which lets the
#: larger ones claim first.
MIN_OWNER_CORES = 1.0
SMALL_HOST_DELAY_SECONDS = 0.5
#: The first hosts in the claim order, which follow the runner list to be ready to take over. If
#: every host read the runners' heartbeats, they would use much of the store's read capacity.
SUCCESSOR_COUNT = 9


def rank_hosts(member_by_host: Mapping[str, Member]) -> list[str]:
    """Return all hosts, those with most cores first: an owner needs a whole core."""
    return sorted(member_by_host, key=lambda host: (-member_by_host[host].cores, host))


def compute_claim_delay(member_by_host: Mapping[str, Member], own_host: str, former: str) -> float:
    """Return how many seconds ``own_host`` waits before it claims the cell from ``former``."""
    others = [host for host in rank_hosts(member_by_host) if host != former]
    rank = others.index(own_host) if own_host in others else len(others)
    delay = min(MAX_CLAIM_DELAY_SECONDS, rank * CLAIM_STAGGER_SECONDS)
    return (
        delay + SMALL_HOST_DELAY_SECONDS if find_larger_hosts(member_by_host, own_host) else delay
    )


def is_successor(member_by_host: Mapping[str, Member], own_host: str) -> bool:
    """Return whether ``own_host`` is one of the first hosts to claim, or is not a member yet."""
    return (
        own_host not in member_by_host or own_host in rank_hosts(member_by_host)[:SUCCESSOR_COUNT]
    )


def find_larger_hosts(member_by_host: Mapping[str, Member], own_host: str) -> list[str]:
    """Return the hosts that can own a large cell if ``own_host`` has too few cores, else none."""
    own = member_by_host.get(own_host)
    if own is None or own.cores >= MIN_OWNER_CORES:
        return []
    return [
        host for host in rank_hosts(member_by_host) if member_by_host[host].cores >= MIN_OWNER_CORES
    ]


def find_zone_writer(
    member_by_host: Mapping[str, Member],
    own_host: str,
    excluded: Collection[str],
) -> str | None:
    """Return the host that writes to the store for ``own_host``; ``None`` if it writes itself.

    Hosts in ``excluded`` do not answer or cannot write.
    """
    own = member_by_host.get(own_host)
    if own is None:
        return None
    for host in rank_hosts(member_by_host):
        if host == own_host:
            return None
        if member_by_host[host].zone == own.zone and host not in excluded:
            return host
    return None
