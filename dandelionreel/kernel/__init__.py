"""Shared basics: settings, clock, tasks, plug-in registry, logging and request errors."""

from dandelionreel.kernel._clock import Clock, ManualClock, SystemClock
from dandelionreel.kernel._environment import Environment
from dandelionreel.kernel._exit_status import ExitStatus
from dandelionreel.kernel._journal import Journal, Part, seconds_or_none
from dandelionreel.kernel._json import JsonError, decode_json
from dandelionreel.kernel._log_stream import LogStream
from dandelionreel.kernel._registry import PluginKind, PluginRegistry, UnknownPlugin, plugins
from dandelionreel.kernel._settings import (
    Endpoint,
    Limits,
    Logs,
    Platform,
    Settings,
    SettingsError,
    StaticHost,
    Timings,
    load_settings,
    zones_of,
)
from dandelionreel.kernel._signals import watch_signals
from dandelionreel.kernel._tasks import ChangeNotifier, start_task
from dandelionreel.kernel._text import clip_text
from dandelionreel.kernel._verdict import (
    Problem,
    RequestError,
    Verdict,
    not_run_error,
    outcome_unknown_error,
)

__all__ = (
    'ChangeNotifier',
    'Clock',
    'Endpoint',
    'Environment',
    'ExitStatus',
    'Journal',
    'JsonError',
    'Limits',
    'LogStream',
    'Logs',
    'ManualClock',
    'Part',
    'Platform',
    'PluginKind',
    'Problem',
    'PluginRegistry',
    'RequestError',
    'Settings',
    'SettingsError',
    'StaticHost',
    'SystemClock',
    'Timings',
    'UnknownPlugin',
    'Verdict',
    'clip_text',
    'decode_json',
    'load_settings',
    'not_run_error',
    'plugins',
    'seconds_or_none',
    'start_task',
    'outcome_unknown_error',
    'watch_signals',
    'zones_of',
)
