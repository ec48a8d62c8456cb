"""The order in which hosts claim a cell, and who writes for a zone. No I/O.

Load pattern: the store slows down, or a large cell loses its owner, and every host would append at
once, which makes a slow partition refuse all of them. Hosts act one after the other in an order
that all of them know, and one host of a zone writes for the others.
"""

from collections.abc import Collection, Mapping

from dandelionreel.cell.model import Member

#: Seconds between the claims of two hosts that follow each other: more than a claim takes.
CLAIM_STAGGER_SECONDS = 0.06
#: Seconds after which the last host claims, when all before it are dead.
MAX_CLAIM_DELAY_SECONDS = 0.9
#: Cores that the owner of a large cell needs, and seconds for which hosts with fewer leave the
#: claim to those that have them.
MIN_OWNER_CORES = 1.0
SMALL_HOST_DELAY_SECONDS = 0.5
#: Hosts that keep the list of runners at hand, being the first to claim. Read by every host, the
#: runners' heartbeats would take much of what the store can send.
SUCCESSORS = 9
#: Hosts of each zone that keep it, to tell what its runners have done behind a cut.
REPLICAS_PER_ZONE = 2


def rank_hosts(member_by_host: Mapping[str, Member]) -> list[str]:
    """Return all hosts, those with most processor first: an owner needs a whole core."""
    return sorted(member_by_host, key=lambda host: (-member_by_host[host].cores, host))


def claim_delay(member_by_host: Mapping[str, Member], me: str, former: str) -> float:
    """Return for how many seconds ``me`` leaves the claim to the hosts before it."""
    others = [host for host in rank_hosts(member_by_host) if host != former]
    rank = others.index(me) if me in others else len(others)
    delay = min(MAX_CLAIM_DELAY_SECONDS, rank * CLAIM_STAGGER_SECONDS)
    return delay + SMALL_HOST_DELAY_SECONDS if larger_hosts(member_by_host, me) else delay


def is_successor(member_by_host: Mapping[str, Member], me: str) -> bool:
    """Return whether ``me`` is one of the hosts that claim first, or cannot tell yet."""
    return me not in member_by_host or me in rank_hosts(member_by_host)[:SUCCESSORS]


def follows_runner_list(member_by_host: Mapping[str, Member], me: str) -> bool:
    """Return whether ``me`` keeps the list of runners: it may claim, or speak for its zone."""
    own = member_by_host.get(me)
    if own is None or is_successor(member_by_host, me):
        return True
    same_zone = [
        host for host in rank_hosts(member_by_host) if _is_same_zone(member_by_host, host, own)
    ]
    return me in same_zone[:REPLICAS_PER_ZONE]


def _is_same_zone(member_by_host: Mapping[str, Member], host: str, own: Member) -> bool:
    return member_by_host[host].zone == own.zone


def larger_hosts(member_by_host: Mapping[str, Member], me: str) -> list[str]:
    """Return the hosts that should own a large cell in place of ``me``."""
    own = member_by_host.get(me)
    if own is None or own.cores >= MIN_OWNER_CORES:
        return []
    return [
        host for host in rank_hosts(member_by_host) if member_by_host[host].cores >= MIN_OWNER_CORES
    ]


def find_zone_writer(
    member_by_host: Mapping[str, Member],
    me: str,
    excluded: Collection[str],
) -> str | None:
    """Return the host that writes for ``me``; ``None`` where it is ``me`` itself."""
    own = member_by_host.get(me)
    if own is None:
        return None
    for host in rank_hosts(member_by_host):
        if host == me:
            return None
        if member_by_host[host].zone == own.zone and host not in excluded:
            return host
    return None
