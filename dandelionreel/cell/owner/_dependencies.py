"""Dependencies of the dispatcher that stay the same from term to term."""

from collections.abc import Callable
from dataclasses import dataclass

from dandelionreel.cell.membership import Election, LocalAdvisor, PeerLinks
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


def ignore_refused_job(queue: str, reason: str) -> None:
    """Do not count a refused job."""


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
    #: Counts a refused job by queue and reason.
    count_refused_job: Callable[[str, str], None] = ignore_refused_job
