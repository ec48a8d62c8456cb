"""Functions that several commands share: check files, send requests, write answers."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from dandelionreel.admin import PublishBody
from dandelionreel.cli._client import ToolError, decode_json, send_request
from dandelionreel.cli._command_result import Command, CommandOutcome, CommandResult
from dandelionreel.cli._options import JOB_COLUMNS
from dandelionreel.cli._output import write_fields, write_table
from dandelionreel.contracts import ContractError, load_contract
from dandelionreel.http import Request
from dandelionreel.jobs import JobSpecError, load_spec
from dandelionreel.kernel import ExitStatus


def check_file(
    file: Path,
    text: bytes,
    load: Callable[[bytes], Any],
    error_type: type[ValueError],
    json: bool,
) -> CommandOutcome:
    """Return a report that a file is valid, or the error in it."""
    try:
        loaded = load(text)
    except error_type as error:
        return Failure(ToolError(f'{file}: {error}', ExitStatus.USAGE))
    fields = {'file': str(file), 'checked': 'good'}
    if json:
        fields['content'] = msgspec.to_builtins(loaded)
    return Success(CommandResult(fields, write_fields, json))


def check_and_publish_contract(
    file: Path,
    text: bytes,
    replaces: int,
    author: str,
    admin: str,
    json: bool,
) -> CommandOutcome:
    """Check a contract and have a daemon publish it."""
    try:
        contract = load_contract(text)
    except ContractError as error:
        return Failure(ToolError(f'{file}: {error}', ExitStatus.USAGE))
    body = msgspec.json.encode(PublishBody(msgspec.Raw(text), replaces, author))
    return post_json(admin, f'/v1/contracts/{contract.customer}', body).map(
        lambda content: CommandResult(content, write_fields, json),
    )


def check_and_submit_job(
    file: Path, text: bytes, key: str, callers: str, json: bool
) -> CommandOutcome:
    """Check a job and submit it."""
    try:
        load_spec(text)
    except JobSpecError as error:
        return Failure(ToolError(f'{file}: {error}', ExitStatus.USAGE))
    headers = (('idempotency-key', key), ('content-type', 'application/json'))
    request = Request('POST', '/v1/jobs', headers, text)
    return send_request(callers, request).map(
        lambda response: CommandResult({**decode_json(response), 'key': key}, write_fields, json),
    )


def get_json(address: str, path: str) -> Result[Any, ToolError]:
    """Return the decoded response of a daemon to a GET request."""
    return send_request(address, Request('GET', path)).map(decode_json)


def post_json(address: str, path: str, body: bytes) -> Result[Any, ToolError]:
    """Return the decoded response of a daemon to a POST request."""
    headers = (('content-type', 'application/json'),)
    return send_request(address, Request('POST', path, headers, body)).map(decode_json)


def make_fetch_command(
    path: str, write: Callable[[Any, Any], None], admin: str, json: bool
) -> Command:
    """Return the command that fetches a path of a daemon and shows it."""
    return lambda environment: get_json(admin, path).map(
        lambda content: CommandResult(content, write, json),
    )


def make_table_writer(columns: tuple[str, ...]) -> Callable[[Any, Any], None]:
    """Return a function that writes rows with these columns."""
    return lambda stream, content: write_table(stream, content, columns)


def write_jobs(stream: Any, content: Any) -> None:
    """Write a page of jobs, and the option that fetches the next page."""
    write_table(stream, content['jobs'], JOB_COLUMNS)
    if content['next_after']:
        stream.write(f'more: --after {content["next_after"]}\n')


def write_contracts(stream: Any, content: Any) -> None:
    """Write contracts, their shares per zone, and their pending versions."""
    views = content if isinstance(content, list) else [content]
    for view in views:
        contract = view['contract'] or {'version': 'none in force'}
        write_fields(stream, contract)
        write_fields(stream, {'shares': {part['zone']: part['share'] for part in view['shares']}})
        if view['pending']:
            write_fields(stream, {'pending': view['pending']})
