"""Steps that write small logs of a cell and have the tool review them."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when

from features.steps.explain_steps import _tell, _write, line

HOSTS = {'a': 'north', 'b': 'south', 'c': 'west', 'd': 'west'}
QUEUE = {'queue': 'desk'}
TAKEN = (1.0, 'a', 'jobs: POST ID: 200 by a peer.', {**QUEUE, 'seconds': 0.01})
STARTED = (
    1.1,
    'b',
    'placement: starts a task on r1.',
    {'task': '0.0.0', 'run': 1, 'runner': 'r1', 'zone': 'west'},
)
RUN = {'task': '0.0.0', 'run': 1, 'runner': 'r1'}


def closed(at, state='completed'):
    fields = {**QUEUE, 'seconds': at - 1, 'objective': 1.0}
    return (at, 'b', f'jobs: job ID is {state}.', fields)


def stored(at):
    return (at, 'b', 'workers: ends on r1: stored.', {'job': None, 'jobs': ['ID'], 'number': 1})


def lost(host, at, until):
    """Return what a host tells that is without the store for a time."""
    away = 'log: has lost the store: cell: the store answered 503.'
    return (
        (at, host, away, {'job': None}),
        (until, host, 'log: reaches the store: cell.', {'job': None}),
    )


def refused(host, at):
    return (at, host, 'jobs: POST ID: not stored.', {**QUEUE, 'seconds': 0.1, 'tried': []})


STORIES = {
    'all goes well': (TAKEN, STARTED, closed(1.5), stored(1.51)),
    'the job is cancelled': (
        TAKEN,
        STARTED,
        (1.2, 'a', 'jobs: DELETE ID: 200 by a peer.', {}),
        closed(9.0, 'cancelled'),
    ),
    'nobody takes the job while the store is away': (
        *(told for host in HOSTS for told in lost(host, 0.5, 9.0)),
        refused('a', 1.0),
        refused('c', 2.0),
    ),
    'the hosts of one zone turn the job away': (
        *lost('c', 0.5, 9.0),
        *lost('d', 0.6, 9.0),
        refused('c', 1.0),
        refused('d', 2.0),
    ),
    'one host turns the job away': (*lost('c', 0.5, 9.0), refused('c', 1.0)),
    'the job ends while the store is away': (
        TAKEN,
        STARTED,
        *(told for host in HOSTS for told in lost(host, 1.4, 6.0)),
        closed(1.5),
        stored(6.1),
    ),
    'the end of the job takes a second to store': (TAKEN, STARTED, closed(1.5), stored(2.5)),
    'the job runs in a zone that is cut off': (
        TAKEN,
        STARTED,
        *lost('c', 1.4, 7.0),
        *lost('d', 1.4, 7.0),
        closed(7.2),
        stored(7.2),
    ),
    'all hosts are down for two seconds': (
        TAKEN,
        STARTED,
        *((3.2, host, 'life: starts.', {'job': None, 'zone': HOSTS[host]}) for host in HOSTS),
        closed(3.5),
        stored(3.5),
    ),
    'the owner is replaced before the job starts': (
        TAKEN,
        (2.0, 'c', 'ownership: owns the cell.', {'job': None, 'silent_seconds': 1.2}),
        (2.1, *STARTED[1:]),
        closed(2.5),
        stored(2.5),
    ),
    'the runner of the job does not answer': (
        TAKEN,
        STARTED,
        (1.5, 'b', 'placement: a start was not answered: no answer in time.', RUN),
        closed(3.5),
        stored(3.5),
    ),
    'a run of the job fails': (
        TAKEN,
        STARTED,
        (1.5, 'b', 'workers: a run has ended failed.', RUN),
        closed(3.5),
        stored(3.5),
    ),
    'the job waits for its first start': (TAKEN, (2.5, *STARTED[1:]), closed(2.9), stored(2.9)),
    "the job waits for its account's quota": (
        TAKEN,
        (1.1, 'b', "placement: job ID waits for its account's quota.", {'account': 'blue'}),
        (2.5, *STARTED[1:]),
        closed(2.9),
        stored(2.9),
    ),
    "the job is beyond its account's share": (
        TAKEN,
        (1.1, 'b', "jobs: job ID is beyond its account's share: it waits behind others.", {}),
        (2.5, *STARTED[1:]),
        closed(2.9),
        stored(2.9),
    ),
    'the job runs longer than its queue thought': (TAKEN, STARTED, closed(3.5), stored(3.5)),
}


def _logs(context):
    if not hasattr(context, 'folder'):
        context.folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    return context.folder


@given('the logs of hosts in three zones, in which {what}')
def write_story(context, what):
    _logs(context)
    # Hosts write for ever; their last lines tell that they were up until then.
    noise = 'contracts: a configuration is in force.'
    up = [(0.0, host, 'life: starts.', {'job': None, 'zone': HOSTS[host]}) for host in HOSTS]
    up += [(1.2, host, noise, {'job': None}) for host in HOSTS]
    name = f'{len(list(context.folder.glob("*.log"))):016x}'
    for at, host, text, fields in sorted([*up, *STORIES[what]], key=lambda told: told[0]):
        content = line(at, host, text, fields)
        # Each story has a job, and a log file, of its own.
        _write(context, name, [content.replace(b'8b344bac49d1ac6d', name.encode())])


@given('a log of a host that only starts')
def write_start(context):
    _logs(context)
    _write(context, 'a', [line(0.0, 'a', 'life: starts.', {'job': None, 'zone': 'north'})])


@given("a log with {count:d} lines that can't be read")
def write_bad(context, count):
    _write(context, 'zz', [b'{"host": "a", "text": "jobs: POST'] * count)


@when('they are reviewed')
def review(context):
    files = [str(path) for path in sorted(context.folder.glob('*.log'))]
    _tell(context, ['review', *files, '--json'])
    context.review = json.loads(context.out) if not context.status else None


@then('its job is said to be {verdict}, since {reason}')
def check_reason(context, verdict, reason):
    (job,) = context.review['jobs']
    assert (job['verdict'], job['reason']) == (verdict, reason), context.review
    (row,) = context.review['reasons']
    assert row['reason'] == reason and row[verdict] == 1, row


@then('no job is said to be late')
def check_none(context):
    assert context.review['jobs'] == [], context.review
    (row,) = context.review['queues']
    assert (row['in time'], row['cancelled']) == (1, 1), row


@then('the tool says in one line that no line tells of a job')
def check_no_job(context):
    assert context.status == 1, context.status
    assert 'no line tells of a job' in context.err and context.err.count('\n') == 1, context.err


@then('{count:d} lines are said to be bad')
def check_bad(context, count):
    assert context.review['read']['bad'] == count, context.review['read']
