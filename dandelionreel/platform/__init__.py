"""Adapter to the users' platform: its formats, calls and settings file.

It makes no scheduling decisions.
"""

from dandelionreel.platform._advice import HttpAdvice
from dandelionreel.platform._records import JsonRecordCodec
from dandelionreel.platform._runners import HttpRunner
from dandelionreel.platform._settings import (
    DEFAULT_PATH,
    SETTINGS_VARIABLE,
    Address,
    HostSettings,
    SettingsError,
    decode_host_settings,
    load_host_settings,
)
from dandelionreel.platform._store import (
    CELL_TOPIC,
    OPERATOR_TOPIC,
    READ_TIMEOUT,
    RUNNERS_TOPIC,
    StoreTopic,
)
from dandelionreel.platform._submissions import JsonClientCodec, decode_submission

__all__ = (
    'CELL_TOPIC',
    'DEFAULT_PATH',
    'OPERATOR_TOPIC',
    'READ_TIMEOUT',
    'RUNNERS_TOPIC',
    'SETTINGS_VARIABLE',
    'Address',
    'HostSettings',
    'HttpAdvice',
    'HttpRunner',
    'JsonClientCodec',
    'JsonRecordCodec',
    'SettingsError',
    'StoreTopic',
    'decode_host_settings',
    'decode_submission',
    'load_host_settings',
)
