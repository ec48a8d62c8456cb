"""Dependencies of the dispatcher that stay the same from term to term."""

from dataclasses import dataclass

from dandelionreel.cell.membership import Completions, Election, LocalAdvisor, PeerLinks
from dandelionreel.cell.model import Topic
from dandelionreel.cell.owner._owner_context import (
    GetRunnerListAge,
    MakeRunner,
    zero_runner_list_age,
)
from dandelionreel.cell.store import (
    CellProjection,
    ConfigurationProjection,
    Follower,
    RunnerProjection,
)
from dandelionreel.kernel import Clock, Journal


@dataclass(frozen=True)
class DispatcherDependencies:
    """Dependencies and settings of a dispatcher; built once per process, reused in every term."""

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
    max_lease: float
    status_retention: float
    #: Returns the age of the local copy of the runner list, in seconds.
    get_runner_list_age: GetRunnerListAge = zero_runner_list_age
    #: Whether demand may exceed the capacity of the cell for seconds.
    overload_control: bool = False
