"""Command line of the daemon."""

import argparse
from pathlib import Path

import curio

from dandelionreel import __version__
from dandelionreel.daemon import Daemon
from dandelionreel.http import set_source_address
from dandelionreel.kernel import (
    Environment,
    ExitStatus,
    SettingsError,
    UnknownPlugin,
    load_settings,
)

PROGRAM = 'dandelionreeld'
DESCRIPTION = (
    'Run one daemon of the scheduler until SIGTERM. The first SIGTERM drains: the '
    'daemon turns unready, hands its shards over and finishes requests in flight. '
    'A second one skips the waiting.'
)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the daemon's options.

    It uses argparse, unlike the tool: importing defopt would take 7 MB of the
    daemon's 32 MB (docs/DEPENDENCIES.md).
    """
    parser = argparse.ArgumentParser(prog=PROGRAM, description=DESCRIPTION)
    parser.add_argument('--version', action='version', version=f'{PROGRAM} {__version__}')
    parser.add_argument(
        '-s',
        '--settings',
        type=Path,
        required=True,
        help="JSON file with this daemon's settings",
    )
    return parser


def main_daemon(
    argv: list[str] | None = None,
    environment: Environment | None = None,
) -> int:
    """Parse, run, and map errors to an exit status."""
    environment = environment or Environment(program=PROGRAM)
    path = make_parser().parse_args(argv).settings
    try:
        settings = load_settings(path.read_bytes())
        set_source_address(settings.source_address)
        daemon = Daemon(settings, environment)
    except OSError as error:
        environment.write_error(f'{path}: {error.strerror}; name a readable settings file')
        return ExitStatus.USAGE
    except (SettingsError, UnknownPlugin) as error:
        environment.write_error(f'{path}: {error}')
        return ExitStatus.USAGE
    try:
        return curio.run(daemon.run)
    except OSError as error:
        environment.write_error(f'cannot listen: {error}; free the port or change the settings')
        return ExitStatus.ERROR
