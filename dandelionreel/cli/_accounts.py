"""The command that shows client accounts: use, quota, share and waiting jobs."""

from typing import Any

from returns.result import Result, Success

from dandelionreel.cli._client import ToolError
from dandelionreel.cli._command_result import Command, CommandResult
from dandelionreel.cli._options import ACCOUNT_COLUMNS, METRICS_PORT
from dandelionreel.cli._output import write_table
from dandelionreel.cli._shared import get_json

PATH = '/accounts'


def show_accounts(host: str, *, json: bool = False) -> Command:
    """Show client accounts: use, quota, share, jobs, jobs held by their quota, refusals.

    Use and jobs are known to the owner of the cell, which is asked for them; refusals are
    those of the host that answers.

    :param host: the IP of any entry host, or IP:PORT of its metrics
    :param json: write JSON
    """
    return lambda environment: _fetch_accounts(host).map(
        lambda content: CommandResult(content, _write_accounts, json)
    )


def _fetch_accounts(host: str) -> Result[Any, ToolError]:
    address = host if ':' in host else f'{host}:{METRICS_PORT}'
    return get_json(address, PATH).bind(
        lambda content: _fetch_accounts_from_owner(address, content)
    )


def _fetch_accounts_from_owner(address: str, content: Any) -> Result[Any, ToolError]:
    """Return the owner's accounts; ``content`` if the owner sent it or there is no owner."""
    owner = content['owner_address']
    if content['owns'] or not owner:
        return Success(content)
    return get_json(f'{owner}:{address.rpartition(":")[2]}', PATH)


def _write_accounts(stream: Any, content: Any) -> None:
    owner = content['owner'] or 'nobody'
    stream.write(f'version {content["version"]}, owned by {owner}\n')
    write_table(stream, content['accounts'], ACCOUNT_COLUMNS)
