"""Command line of the tool: parse, run, map errors to an exit status."""

import sys

import defopt
from returns.result import Success

from dandelionreel import __version__
from dandelionreel.cli._commands import COMMANDS
from dandelionreel.cli._output import write_json
from dandelionreel.kernel import Environment, ExitStatus

PROGRAM = 'dandelionreel'


def main(argv: list[str] | None = None, environment: Environment | None = None) -> int:
    """Run one command and return its exit status."""
    environment = environment or Environment(program=PROGRAM)
    command = defopt.run(
        COMMANDS,
        argv=sys.argv[1:] if argv is None else argv,
        version=f'{PROGRAM} {__version__}',
        argparse_kwargs={'prog': PROGRAM},
        no_negated_flags=False,
    )
    try:
        outcome = command(environment)
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    if not isinstance(outcome, Success):
        error = outcome.failure()
        environment.write_error(error.message)
        return error.status
    command_result = outcome.unwrap()
    if command_result.as_json:
        write_json(environment.stdout, command_result.content)
    else:
        command_result.write(environment.stdout, command_result.content)
    return ExitStatus.SUCCESS
