"""The tool's commands; defopt derives the command line from their signatures."""

import getpass
import os
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import msgspec

from dandelionreel.admin import DrainBody
from dandelionreel.cli._accounts import show_accounts
from dandelionreel.cli._client import send_request
from dandelionreel.cli._command_result import Command, CommandResult, read_file
from dandelionreel.cli._explain import explain_job
from dandelionreel.cli._options import (
    DEFAULT_ADMIN,
    DEFAULT_CALLERS,
    ENDPOINT_COLUMNS,
    HISTORY_COLUMNS,
    MEMBER_COLUMNS,
    SHARD_COLUMNS,
    WORKER_COLUMNS,
)
from dandelionreel.cli._output import write_fields
from dandelionreel.cli._review import review_jobs
from dandelionreel.cli._shared import (
    check_and_publish_contract,
    check_and_submit_job,
    check_file,
    get_json,
    make_fetch_command,
    make_table_writer,
    post_json,
    write_contracts,
    write_jobs,
)
from dandelionreel.contracts import ContractError, load_contract
from dandelionreel.http import VERDICT_HEADER, Request
from dandelionreel.jobs import CancelBody, MoveBody, ResolveBody
from dandelionreel.kernel import SettingsError, load_settings

KEY_BYTES = 8


def check_settings(file: Path, *, json: bool = False) -> Command:
    """Check a daemon's settings without starting anything.

    :param file: JSON file with settings
    :param json: write JSON
    """
    return lambda environment: read_file(file).bind(
        lambda text: check_file(file, text, load_settings, SettingsError, json),
    )


def contract_check(file: Path, *, json: bool = False) -> Command:
    """Check a contract without publishing it.

    :param file: JSON file with a contract
    :param json: write JSON
    """
    return lambda environment: read_file(file).bind(
        lambda text: check_file(file, text, load_contract, ContractError, json),
    )


def contract_publish(
    file: Path,
    *,
    replaces: int,
    author: str = '',
    admin: str = DEFAULT_ADMIN,
    json: bool = False,
) -> Command:
    """Publish a contract version, and wait until it is in force everywhere or not at all.

    :param file: JSON file with the contract
    :param replaces: the version in force that it replaces, 0 for a first one
    :param author: who publishes; the user's name by default
    :param admin: IP:PORT of some daemon's admin interface
    :param json: write JSON
    """
    return lambda environment: read_file(file).bind(
        lambda text: check_and_publish_contract(
            file, text, replaces, author or getpass.getuser(), admin, json
        ),
    )


def contract_show(customer: str = '', *, admin: str = DEFAULT_ADMIN, json: bool = False) -> Command:
    """Show a customer's contract, or those of all.

    :param customer: whose contract; all by default
    :param admin: IP:PORT of some daemon's admin interface
    :param json: write JSON
    """
    path = f'/v1/contracts/{customer}' if customer else '/v1/contracts'
    return lambda environment: get_json(admin, path).map(
        lambda content: CommandResult(content, write_contracts, json),
    )


def contract_history(customer: str, *, admin: str = DEFAULT_ADMIN, json: bool = False) -> Command:
    """Show how the latest versions of a contract ended.

    :param customer: whose contract
    :param admin: IP:PORT of some daemon's admin interface
    :param json: write JSON
    """
    return lambda environment: get_json(admin, f'/v1/contracts/{customer}').map(
        lambda content: CommandResult(content['history'], make_table_writer(HISTORY_COLUMNS), json),
    )


def job_submit(
    file: Path,
    *,
    key: str = '',
    callers: str = DEFAULT_CALLERS,
    json: bool = False,
) -> Command:
    """Submit a job; a second submission with the same key is the same job.

    :param file: JSON file with the job
    :param key: idempotency key; a new one by default
    :param callers: IP:PORT of some daemon's callers' interface
    :param json: write JSON
    """
    return lambda environment: read_file(file).bind(
        lambda text: check_and_submit_job(
            file, text, key or os.urandom(KEY_BYTES).hex(), callers, json
        ),
    )


def job_show(job: str, *, admin: str = DEFAULT_ADMIN, json: bool = False) -> Command:
    """Show one job.

    :param job: the job's id
    :param admin: IP:PORT of some daemon's admin interface
    :param json: write JSON
    """
    return lambda environment: get_json(admin, f'/v1/jobs/{job}').map(
        lambda content: CommandResult(content, write_fields, json),
    )


def job_list(
    *,
    zone: str = '',
    customer: str = '',
    state: str = '',
    after: str = '',
    limit: int = 100,
    admin: str = DEFAULT_ADMIN,
    json: bool = False,
) -> Command:
    """List jobs of one availability zone, by id.

    :param zone: the zone; the daemon's own by default
    :param customer: only this customer's
    :param state: only jobs in this state, such as uncertain
    :param after: only ids above this one, to continue after a page
    :param limit: maximum number of jobs on a page
    :param admin: IP:PORT of some daemon's admin interface
    :param json: write JSON
    """
    fields = {
        'zone': zone,
        'customer': customer,
        'state': state,
        'after': after,
        'limit': str(limit),
    }
    query = urlencode({name: text for name, text in fields.items() if text})
    return lambda environment: get_json(admin, f'/v1/jobs?{query}').map(
        lambda content: CommandResult(content, write_jobs, json),
    )


def job_cancel(*jobs: str, admin: str = DEFAULT_ADMIN, json: bool = False) -> Command:
    """Cancel jobs: waiting jobs do not start, running ones are stopped.

    :param jobs: the jobs' ids
    :param admin: IP:PORT of some daemon's admin interface
    :param json: write JSON
    """
    body = msgspec.json.encode(CancelBody(jobs))
    return lambda environment: post_json(admin, '/v1/jobs/cancel', body).map(
        lambda content: CommandResult(content, write_fields, json),
    )


def job_resolve(
    job: str,
    *,
    outcome: str,
    admin: str = DEFAULT_ADMIN,
    json: bool = False,
) -> Command:
    """Set the outcome of an uncertain or parked job after checking what it did.

    :param job: the job's id
    :param outcome: ran, or not_run to start it again
    :param admin: IP:PORT of some daemon's admin interface
    :param json: write JSON
    """
    body = msgspec.json.encode(ResolveBody(outcome))
    return lambda environment: post_json(admin, f'/v1/jobs/{job}/resolve', body).map(
        lambda content: CommandResult(content, write_fields, json),
    )


def job_move(
    *,
    from_zone: str,
    to_zone: str,
    admin: str = DEFAULT_ADMIN,
    json: bool = False,
) -> Command:
    """Move the waiting jobs of an unreachable zone to another.

    Up to 500 at a time; repeat until none moves. Running jobs stay.

    :param from_zone: the unreachable zone
    :param to_zone: the zone that takes the jobs over
    :param admin: IP:PORT of some daemon's admin interface
    :param json: write JSON
    """
    body = msgspec.json.encode(MoveBody(from_zone, to_zone))
    return lambda environment: post_json(admin, '/v1/jobs/move', body).map(
        lambda content: CommandResult(content, write_fields, json),
    )


def status(*, admin: str = DEFAULT_ADMIN, json: bool = False) -> Command:
    """Show one daemon's state.

    :param admin: IP:PORT of the daemon's admin interface
    :param json: write JSON
    """
    return make_fetch_command('/v1/status', write_fields, admin, json)


def members(*, admin: str = DEFAULT_ADMIN, json: bool = False) -> Command:
    """Show all daemons of the cell.

    :param admin: IP:PORT of some daemon's admin interface
    :param json: write JSON
    """
    return make_fetch_command('/v1/members', make_table_writer(MEMBER_COLUMNS), admin, json)


def shards(*, admin: str = DEFAULT_ADMIN, json: bool = False) -> Command:
    """Show who owns the workers, the runners and the queue of a zone.

    :param admin: IP:PORT of a daemon of the zone
    :param json: write JSON
    """
    return make_fetch_command('/v1/shards', make_table_writer(SHARD_COLUMNS), admin, json)


def workers(*, admin: str = DEFAULT_ADMIN, json: bool = False) -> Command:
    """Show the workers of a zone; use is counted at their owner only.

    :param admin: IP:PORT of a daemon of the zone
    :param json: write JSON
    """
    return make_fetch_command('/v1/workers', make_table_writer(WORKER_COLUMNS), admin, json)


def endpoints(*, admin: str = DEFAULT_ADMIN, json: bool = False) -> Command:
    """Show the endpoints of a zone; slots are counted at their owner only.

    :param admin: IP:PORT of a daemon of the zone
    :param json: write JSON
    """
    return make_fetch_command('/v1/endpoints', make_table_writer(ENDPOINT_COLUMNS), admin, json)


def drain(*, endpoint: str = '', admin: str = DEFAULT_ADMIN, json: bool = False) -> Command:
    """Drain an endpoint, or drain and stop this daemon.

    :param endpoint: the endpoint to drain; the daemon itself by default
    :param admin: IP:PORT of the daemon's admin interface
    :param json: write JSON
    """
    body = msgspec.json.encode(DrainBody(endpoint))
    return lambda environment: post_json(admin, '/v1/drain', body).map(
        lambda content: CommandResult(content, write_fields, json),
    )


def call(
    service: str,
    path: str = '/',
    *,
    customer: str,
    task_class: str = 'urgent',
    deadline_ms: int = 5000,
    method: str = 'POST',
    idempotent: bool = True,
    key: str = '',
    body: str = '',
    callers: str = DEFAULT_CALLERS,
    json: bool = False,
) -> Command:
    """Send one request to a service and show the whole response.

    :param service: the service's name
    :param path: path at the service
    :param customer: the customer whose contract applies
    :param task_class: class of work
    :param deadline_ms: milliseconds until the request's deadline
    :param method: HTTP method
    :param idempotent: whether it may be sent again after a failure
    :param key: idempotency key, for a request that must not run twice
    :param body: the request body
    :param callers: IP:PORT of some daemon's callers' interface
    :param json: write JSON
    """
    headers = [
        ('dandelionreel-customer', customer),
        ('dandelionreel-class', task_class),
        ('dandelionreel-deadline-ms', str(deadline_ms)),
        ('dandelionreel-idempotent', 'true' if idempotent else 'false'),
    ]
    if key:
        headers.append(('idempotency-key', key))
    target = f'/v1/services/{service}/{path.lstrip("/")}'
    request = Request(method, target, tuple(headers), body.encode())
    return lambda environment: send_request(callers, request).map(
        lambda response: CommandResult(
            {
                'status': response.status,
                'verdict': response.header(VERDICT_HEADER),
                'body': response.body.decode(errors='replace'),
            },
            write_fields,
            json,
        ),
    )


#: Commands by name; a nested mapping holds subcommands.
COMMANDS: dict[str, Any] = {
    'check-settings': check_settings,
    'contract': {
        'check': contract_check,
        'publish': contract_publish,
        'show': contract_show,
        'history': contract_history,
    },
    'job': {
        'submit': job_submit,
        'show': job_show,
        'list': job_list,
        'cancel': job_cancel,
        'resolve': job_resolve,
        'move': job_move,
    },
    'status': status,
    'members': members,
    'shards': shards,
    'workers': workers,
    'endpoints': endpoints,
    'drain': drain,
    'call': call,
    'accounts': show_accounts,
    'explain': explain_job,
    'review': review_jobs,
}
