"""What an owner works with in every term."""

from dataclasses import dataclass

from dandelionreel.cell.membership import Completions, Election, LocalAdvisor, PeerLinks
from dandelionreel.cell.model import Topic
from dandelionreel.cell.owner._owner_context import ListAge, MakeRunner, always_fresh
from dandelionreel.cell.store import (
    CellProjection,
    ConfigurationProjection,
    Follower,
    RunnerProjection,
)
from dandelionreel.kernel import Clock, Journal


@dataclass(frozen=True)
class DispatcherParts:
    """What a dispatcher works with; made once, used for every term."""

    topic: Topic
    follower: Follower
    jobs: CellProjection
    runners: RunnerProjection
    configuration: ConfigurationProjection
    election: Election
    links: PeerLinks
    advisor: LocalAdvisor
    completions: Completions
    make_runner: MakeRunner
    clock: Clock
    journal: Journal
    host: str
    gang_timeout: float
    longest_lease: float
    status_kept: float
    #: How old the list of runners is, in seconds.
    list_age: ListAge = always_fresh
