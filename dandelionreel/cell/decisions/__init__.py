"""What starts where, what waits and what stops. No I/O."""

from dandelionreel.cell.decisions._active_runners import ActiveRunners
from dandelionreel.cell.decisions._advice_requests import AdviceRequest
from dandelionreel.cell.decisions._cell import CLOCK_DRIFT, Cell
from dandelionreel.cell.decisions._completeness import is_complete
from dandelionreel.cell.decisions._crashes import Crash
from dandelionreel.cell.decisions._hopeless_runs import stop_late_gangs, stop_leaving
from dandelionreel.cell.decisions._ledger import Allocation, Holding, RunnerState
from dandelionreel.cell.decisions._losses import note_last_words
from dandelionreel.cell.decisions._planner import Plan, Planner
from dandelionreel.cell.decisions._runner_views import PollEffect
from dandelionreel.cell.decisions._runs import ANY_RUNNER, JobRun
from dandelionreel.cell.decisions._stalled_jobs import StalledJobs
from dandelionreel.cell.decisions._start_window import StartWindow
from dandelionreel.cell.decisions._step_runs import Phase, StepRun, TaskRun

__all__ = (
    'ANY_RUNNER',
    'ActiveRunners',
    'AdviceRequest',
    'Allocation',
    'CLOCK_DRIFT',
    'Cell',
    'Crash',
    'Holding',
    'JobRun',
    'Phase',
    'Plan',
    'Planner',
    'PollEffect',
    'RunnerState',
    'StalledJobs',
    'StartWindow',
    'StepRun',
    'TaskRun',
    'is_complete',
    'note_last_words',
    'stop_late_gangs',
    'stop_leaving',
)
