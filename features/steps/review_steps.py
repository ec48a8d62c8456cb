"""Steps that write small logs of a cell and run ``review`` on them."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when

from features.steps.explain_steps import _append_log, _run_tool, log_line

ZONE_BY_HOST = {'a': 'north', 'b': 'south', 'c': 'west', 'd': 'west'}
QUEUE_FIELDS = {'queue': 'desk'}
ACCEPTED = (1.0, 'a', 'jobs: POST ID: 200 by a peer.', {**QUEUE_FIELDS, 'seconds': 0.01})
STARTED = (
    1.1,
    'b',
    'placement: starts a task on r1.',
    {'task': '0.0.0', 'run': 1, 'runner': 'r1', 'zone': 'west'},
)
RUN_FIELDS = {'task': '0.0.0', 'run': 1, 'runner': 'r1'}


def job_finished(at, state='completed'):
    fields = {**QUEUE_FIELDS, 'seconds': at - 1, 'objective': 1.0}
    return (at, 'b', f'jobs: job ID is {state}.', fields)


def end_stored(at):
    return (at, 'b', 'workers: ends on r1: stored.', {'job': None, 'jobs': ['ID'], 'number': 1})


def store_outage(host, at, until):
    """Return the events of a host that loses the store for a time."""
    outage_text = 'log: has lost the store: cell: the store answered 503.'
    return (
        (at, host, outage_text, {'job': None}),
        (until, host, 'log: reaches the store: cell.', {'job': None}),
    )


def job_refused(host, at):
    return (at, host, 'jobs: POST ID: not stored.', {**QUEUE_FIELDS, 'seconds': 0.1, 'tried': []})


def refused_by_owner(reason):
    """Return the events of a job that the owner refuses as useless."""
    sentence = f'jobs: job ID is refused for {reason}: it would end too late to be of use.'
    fields = {**QUEUE_FIELDS, 'seconds': 0.3}
    return ((0.99, 'b', sentence, {}), (1.0, 'a', 'jobs: POST ID: 503 by a peer.', fields))


EVENTS_BY_CASE = {
    'the job is in time': (ACCEPTED, STARTED, job_finished(1.5), end_stored(1.51)),
    'the job is cancelled': (
        ACCEPTED,
        STARTED,
        (1.2, 'a', 'jobs: DELETE ID: 200 by a peer.', {}),
        job_finished(9.0, 'cancelled'),
    ),
    'no host accepts the job while the store is down': (
        *(event for host in ZONE_BY_HOST for event in store_outage(host, 0.5, 9.0)),
        job_refused('a', 1.0),
        job_refused('c', 2.0),
    ),
    'the hosts of one zone refuse the job': (
        *store_outage('c', 0.5, 9.0),
        *store_outage('d', 0.6, 9.0),
        job_refused('c', 1.0),
        job_refused('d', 2.0),
    ),
    'one host refuses the job': (*store_outage('c', 0.5, 9.0), job_refused('c', 1.0)),
    'the job ends while the store is down': (
        ACCEPTED,
        STARTED,
        *(event for host in ZONE_BY_HOST for event in store_outage(host, 1.4, 6.0)),
        job_finished(1.5),
        end_stored(6.1),
    ),
    'the end of the job takes a second to store': (
        ACCEPTED,
        STARTED,
        job_finished(1.5),
        end_stored(2.5),
    ),
    'the job runs in a zone that is cut off': (
        ACCEPTED,
        STARTED,
        *store_outage('c', 1.4, 7.0),
        *store_outage('d', 1.4, 7.0),
        job_finished(7.2),
        end_stored(7.2),
    ),
    'all hosts are down for two seconds': (
        ACCEPTED,
        STARTED,
        *(
            (3.2, host, 'life: starts.', {'job': None, 'zone': ZONE_BY_HOST[host]})
            for host in ZONE_BY_HOST
        ),
        job_finished(3.5),
        end_stored(3.5),
    ),
    'the owner is replaced before the job starts': (
        ACCEPTED,
        (2.0, 'c', 'ownership: owns the cell.', {'job': None, 'silent_seconds': 1.2}),
        (2.1, *STARTED[1:]),
        job_finished(2.5),
        end_stored(2.5),
    ),
    'the runner of the job does not answer': (
        ACCEPTED,
        STARTED,
        (1.5, 'b', 'placement: a start was not answered: no answer in time.', RUN_FIELDS),
        job_finished(3.5),
        end_stored(3.5),
    ),
    'a run of the job fails': (
        ACCEPTED,
        STARTED,
        (1.5, 'b', 'workers: a run has ended failed.', RUN_FIELDS),
        job_finished(3.5),
        end_stored(3.5),
    ),
    'the job waits for its first start': (
        ACCEPTED,
        (2.5, *STARTED[1:]),
        job_finished(2.9),
        end_stored(2.9),
    ),
    "the job waits for its account's quota": (
        ACCEPTED,
        (1.1, 'b', "placement: job ID waits for its account's quota.", {'account': 'blue'}),
        (2.5, *STARTED[1:]),
        job_finished(2.9),
        end_stored(2.9),
    ),
    "the job is beyond its account's share": (
        ACCEPTED,
        (1.1, 'b', "jobs: job ID is beyond its account's share: it waits behind others.", {}),
        (2.5, *STARTED[1:]),
        job_finished(2.9),
        end_stored(2.9),
    ),
    'the owner refuses the job for overload': (*refused_by_owner('overload'),),
    "the owner refuses the job for its account's quota": (*refused_by_owner('quota'),),
    'the owner refuses the job at first': (
        *refused_by_owner('overload'),
        (3.0, *ACCEPTED[1:]),
        (3.1, *STARTED[1:]),
        job_finished(3.5),
        end_stored(3.5),
    ),
    'the job runs longer than declared': (
        ACCEPTED,
        STARTED,
        job_finished(3.5),
        end_stored(3.5),
    ),
}


def _log_folder(context):
    if not hasattr(context, 'folder'):
        context.folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    return context.folder


@given('the logs of hosts in three zones, in which {what}')
def write_case_logs(context, what):
    _log_folder(context)
    # A host counts as up until its last line, so each gets one after the submission.
    filler = 'contracts: a configuration is in force.'
    events = [
        (0.0, host, 'life: starts.', {'job': None, 'zone': ZONE_BY_HOST[host]})
        for host in ZONE_BY_HOST
    ]
    events += [(1.2, host, filler, {'job': None}) for host in ZONE_BY_HOST]
    name = f'{len(list(context.folder.glob("*.log"))):016x}'
    for at, host, text, fields in sorted(
        [*events, *EVENTS_BY_CASE[what]], key=lambda event: event[0]
    ):
        content = log_line(at, host, text, fields)
        # Each case has its own job and its own log file.
        _append_log(context, name, [content.replace(b'8b344bac49d1ac6d', name.encode())])


@given('a log of a host that only starts')
def write_host_start(context):
    _log_folder(context)
    _append_log(context, 'a', [log_line(0.0, 'a', 'life: starts.', {'job': None, 'zone': 'north'})])


@given("a log with {count:d} lines that can't be read")
def write_bad_lines(context, count):
    _append_log(context, 'zz', [b'{"host": "a", "text": "jobs: POST'] * count)


@when('they are reviewed')
def review(context):
    files = [str(path) for path in sorted(context.folder.glob('*.log'))]
    _run_tool(context, ['review', *files, '--json'])
    context.review = json.loads(context.out) if not context.status else None


@then('the review reports the job as {verdict}, because: {reason}')
def check_reason(context, verdict, reason):
    (job,) = context.review['jobs']
    assert (job['verdict'], job['reason']) == (verdict, reason), context.review
    (row,) = context.review['reasons']
    assert row['reason'] == reason and row[verdict] == 1, row


@then('the review reports no late job')
def check_no_late_job(context):
    assert context.review['jobs'] == [], context.review
    (row,) = context.review['queues']
    assert (row['in time'], row['cancelled']) == (1, 1), row


@then('the tool reports in one line that no line tells of a job')
def check_no_job_error(context):
    assert context.status == 1, context.status
    assert 'no line tells of a job' in context.err and context.err.count('\n') == 1, context.err


@then('the review counts {count:d} bad lines')
def check_bad_count(context, count):
    assert context.review['read']['bad'] == count, context.review['read']
