"""Scheduling decisions: which runs start on which runners, wait or stop. No I/O."""

from dandelionreel.cell.decisions._active_runners import ActiveRunners
from dandelionreel.cell.decisions._admission import (
    Admission,
    AdmissionVerdict,
    BacklogChange,
    RefusalReason,
)
from dandelionreel.cell.decisions._advice_requests import AdviceRequest
from dandelionreel.cell.decisions._cell import MAX_CLOCK_DRIFT, Cell
from dandelionreel.cell.decisions._crashes import Crash
from dandelionreel.cell.decisions._job_run import ANY_RUNNER, JobRun
from dandelionreel.cell.decisions._planner import Plan, Planner
from dandelionreel.cell.decisions._preventive_stops import (
    stop_incomplete_gangs,
    stop_on_draining_runners,
)
from dandelionreel.cell.decisions._runner_losses import apply_last_registrations
from dandelionreel.cell.decisions._runner_state import (
    NEVER,
    Allocation,
    AllocationPhase,
    RunnerState,
)
from dandelionreel.cell.decisions._runner_views import PollEffect
from dandelionreel.cell.decisions._stalled_jobs import StalledJobs
from dandelionreel.cell.decisions._step_run import StepRun, TaskPhase, TaskRun
from dandelionreel.cell.decisions._waiting_steps import WaitingOrder

__all__ = (
    'ANY_RUNNER',
    'ActiveRunners',
    'Admission',
    'AdmissionVerdict',
    'BacklogChange',
    'RefusalReason',
    'AdviceRequest',
    'Allocation',
    'MAX_CLOCK_DRIFT',
    'NEVER',
    'Cell',
    'Crash',
    'AllocationPhase',
    'JobRun',
    'TaskPhase',
    'Plan',
    'Planner',
    'PollEffect',
    'RunnerState',
    'StalledJobs',
    'StepRun',
    'TaskRun',
    'WaitingOrder',
    'apply_last_registrations',
    'stop_incomplete_gangs',
    'stop_on_draining_runners',
)
