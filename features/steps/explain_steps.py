"""Steps that write small logs and run ``explain`` on them."""

import io
import json
import tempfile
from pathlib import Path

from behave import given, then, when

from dandelionreel.cli._tool import main
from dandelionreel.kernel import Environment

JOB = '8b344bac49d1ac6d'
BASE_TIME = 1_770_000_000.0
COMPLETED_JOB = (
    (0.0, 'jobs: POST ID: 200 by this host.', {}),
    (0.2, 'placement: starts a task on r1.', {'task': '0.0.0', 'run': 1, 'runner': 'r1'}),
    (0.7, 'workers: a run has ended done.', {'task': '0.0.0', 'run': 1, 'runner': 'r1'}),
    (0.8, 'jobs: job ID is completed.', {}),
)


def log_line(at, host, text, fields):
    """Return one line as a host writes it; ``ID`` stands for the job."""
    written = {'job': 'ID', **fields}
    if written['job'] is None:
        del written['job']
    part = text.partition(':')[0]
    content = {
        'host': host,
        'text': text,
        **written,
        'timestamp': BASE_TIME + at,
        'message_type': part,
    }
    return json.dumps(content).replace('ID', JOB).encode()


DAMAGED_CONTENT = {
    'a truncated line': lambda: log_line(0.5, 'a', 'jobs: cut.', {})[:60],
    'a line of another program': lambda: b'Traceback (most recent call last):',
    'bytes that are not UTF-8': lambda: bytes(range(256)).replace(b'\n', b''),
    'a value nested 100000 deep': lambda: nested_line(100_000),
    'a value nested 3000 deep': lambda: nested_line(3000),
    'a value nested 500 deep': lambda: nested_line(500),
    'a list of lists': lambda: log_line(0.5, 'a', 'jobs: x.', {'tried': [[], [], [], []]}),
    'a line without a host': lambda: json.dumps({'text': JOB, 'timestamp': 1.0}).encode(),
    'a timestamp that is no number': lambda: b'{"host": "a", "text": "x", "timestamp": "now"}',
    'an infinite timestamp': lambda: b'{"host": "a", "text": "x", "timestamp": 1e999}',
    'fields of unexpected types': lambda: log_line(
        0.5, 'a', 'placement: a start was refused: x.', {'task': 7, 'run': 'x', 'runner': [1]}
    ),
    'a timestamp of 1e300': lambda: b'{"host": "a", "text": "x", "timestamp": 1e300}',
    'a number of 400 digits': lambda: log_line(0.5, 'a', 'jobs: POST ID: x.', {'seconds': 10**400}),
    'a number of 1e308': lambda: log_line(0.5, 'a', 'jobs: POST ID: x.', {'seconds': 1e308}),
    'a task that is no number': lambda: log_line(
        0.5, 'a', 'placement: a start was refused: x.', {'task': '0.\x00.0', 'run': 1}
    ),
    'a line of 5 MB': lambda: log_line(0.5, 'a', 'x' * 5_000_000, {}),
    'a field that is not UTF-8': lambda: log_line(0.5, 'a', 'jobs: x.', {'u': 'Q'}).replace(
        b'"Q"', b'"\xff"'
    ),
    'blank lines': lambda: b'\n  \n',
}


def nested_line(depth):
    """Return a line with a field of lists nested ``depth`` deep."""
    text = '[' * depth + ']' * depth
    return log_line(0.5, 'a', 'jobs: x.', {'deep': 'Q'}).replace(b'"Q"', text.encode())


def _log_folder(context):
    if not hasattr(context, 'folder'):
        context.folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    return context.folder


def _append_log(context, name, lines):
    with (_log_folder(context) / f'{name}.log').open('ab') as file:
        for content in lines:
            file.write(b'  43.6215 ' + name.encode() + b' ' + content + b'\n')


def _run_tool(context, words, stdin=b''):
    out, err = io.StringIO(), io.StringIO()
    reader = io.TextIOWrapper(io.BytesIO(stdin))
    context.status = int(main(words, Environment(stdin=reader, stdout=out, stderr=err)))
    context.out, context.err = out.getvalue(), err.getvalue()


def explain_job(context, subject=JOB):
    files = [str(path) for path in sorted(_log_folder(context).glob('*.log'))]
    _run_tool(context, ['explain', subject, *files, '--json'])
    context.report = json.loads(context.out) if not context.status else None


@given('logs of hosts a and b')
def write_logs(context):
    for row in context.table:
        content = log_line(float(row['at']), row['host'], row['text'], json.loads(row['fields']))
        _append_log(context, row['host'], [content])


@given('a log of a completed job that contains {what}')
def write_damaged_log(context, what):
    lines = [log_line(at, 'a', text, fields) for at, text, fields in COMPLETED_JOB]
    folder = _log_folder(context)
    content = b'\n'.join([*lines[:2], DAMAGED_CONTENT[what](), *lines[2:]])
    (folder / 'a.log').write_bytes(content + b'\n')


@given('30 hosts that log that r1 is draining while a task runs there')
def write_draining_logs(context):
    _append_log(
        context, 'a', [log_line(at, 'a', text, fields) for at, text, fields in COMPLETED_JOB]
    )
    for host in range(30):
        content = log_line(
            0.4, f'h{host}', 'workers: r1 is draining.', {'runner': 'r1', 'job': None}
        )
        _append_log(context, f'h{host}', [content])


@when('the job is explained')
def explain_from_files(context):
    explain_job(context)
    assert context.status == 0, context.err


@when('the tool explains the job from standard input')
def explain_from_stdin(context):
    _run_tool(context, ['explain', JOB], (_log_folder(context) / 'a.log').read_bytes())


@then('the timeline has {kinds} in this order')
def check_order(context, kinds):
    wanted = kinds.split(', ')
    logged = [row['told'] for row in context.report['timeline']]
    assert [kind for kind in logged if kind in wanted] == wanted, logged


@then('its run {run:d} was started by {owner} on {runner}, ended {outcome} and its end was stored')
def check_run(context, run, owner, runner, outcome):
    (found,) = context.report['runs']
    reported = (found['run'], found['owner'], found['runner'], found['outcome'])
    assert reported == (run, owner, runner, outcome), found
    assert found['noted'] is not None and found['ended'] <= found['noted'], found


@then('the report has no repeated starts and no unknowns')
def check_no_findings(context):
    assert not context.report['again'] and not context.report['not_known'], context.report


@then('task {task} is reported as started again, which is {judged}: {words}')
def check_repeated_start(context, task, judged, words):
    (again,) = context.report['again']
    assert again['task'] == task and again['suspect'] is (judged == 'suspect'), again
    assert words in again['finding'], again['finding']


@then(
    'the later start was by {owner} in epoch {epoch:d} at version {version:d}, with what it knew {age:g} s old'
)
def check_knowledge(context, owner, epoch, version, age):
    later = context.report['again'][0]['later']
    assert (later['owner'], later['epoch']) == (owner, epoch), later
    assert (later['knew']['version'], later['knew']['store_age']) == (version, age), later


@then('{owner} had logged {first} and {second} by then')
def check_known_events(context, owner, first, second):
    knew = context.report['again'][0]['knew']
    assert {row['host'] for row in knew} == {owner}, knew
    texts = ' '.join(row['text'] for row in knew)
    assert first in texts and second in texts and 'a run has ended' not in texts, texts


@then('a report on task {task} alone has the same start, and task {other} is not found')
def check_task_report(context, task, other):
    before = context.report['again']
    explain_job(context, f'{JOB}/{task}')
    assert context.report['again'] == before, context.report['again']
    explain_job(context, f'{JOB}/{other}')
    assert context.status == 1 and f'{JOB}/{other}' in context.err, context.err


@then('its runs are {first} {run:d} noted {at:g} and {second} {other:d} noted {then_at:g}')
def check_runs(context, first, run, at, second, other, then_at):
    runs = [(row['task'], row['run'], row['noted']) for row in context.report['runs']]
    assert runs == [(first, run, at), (second, other, then_at)], runs


@then('the timeline of task {task} alone is {kinds}')
def check_task_timeline(context, task, kinds):
    explain_job(context, f'{JOB}/{task}')
    assert [run['task'] for run in context.report['runs']] == [task], context.report['runs']
    logged = [row['told'] for row in context.report['timeline']]
    assert logged == kinds.split(', '), logged


@then('{count:d} lines are counted as bad')
def check_bad_lines(context, count):
    read = context.report['read']
    assert read['bad'] == count, read
    assert bool(read['first_bad'].endswith('a.log:3')) is bool(count), read


@then('it was submitted {seconds:g} s before its start, and waited as long')
def check_submission_time(context, seconds):
    assert context.report['runs'][0]['asked'] == seconds, context.report['runs']
    assert [wait['seconds'] for wait in context.report['waits']] == [seconds]


@then('the report says that {words}')
def check_unknowns(context, words):
    unknowns = context.report['not_known']
    assert any(sentence.startswith(words) for sentence in unknowns), unknowns


@then('it waited {seconds:g} s because of: {first}, {second}, {host} has lost the store')
def check_causes(context, seconds, first, second, host):
    (wait,) = context.report['waits']
    assert wait['seconds'] == seconds, wait
    causes = [(row['host'], row['text']) for row in wait['causes']]
    assert first in causes[0][1] and second in causes[1][1] and len(causes) == 3, causes
    assert causes[2][0] == host and 'has lost the store' in causes[2][1], causes


@then('one line says that {runner} is draining, logged {count:d} times')
def check_deduplicated(context, runner, count):
    rows = [row for row in context.report['timeline'] if 'is draining' in row['text']]
    assert [row['count'] for row in rows] == [count], rows


@then('the logs show which hosts accepted, started, took over, found, stored and completed it')
def check_real_logs(context):
    _save_host_logs(context)
    (path,) = context.path_by_id.values()
    explain_job(context, path.rpartition('/')[2])
    assert context.status == 0, context.err
    logged = [row['told'] for row in context.report['timeline']]
    start_sent = logged.index('asked')
    assert 'accepted' in logged[:start_sent], logged
    # A job's final state is logged when it is decided, its ends once they are stored.
    after = ('taken over', 'found', 'ended', 'closed', 'noted')
    assert tuple(kind for kind in logged[start_sent:] if kind in after) == after, logged
    (run,) = context.report['runs']
    assert run['owner'] == context.killed and run['outcome'] == 'done', run
    assert run['seen_by'] != context.killed and run['noted'] is not None, run
    assert set(run['knew']) == {'failures', 'crashes', 'version', 'store_age', 'runner_age'}, run
    assert not context.report['again'] and not context.report['not_known'], context.report


@then('the logs show for each of them that it was refused, and what was tried')
def check_refusals(context):
    _save_host_logs(context)
    for job in range(10, 16):
        explain_job(context, f'{job:016x}')
        assert context.status == 0, context.err
        refused = [row for row in context.report['timeline'] if row['told'] == 'refused']
        assert refused and not context.report['runs'], context.report
        assert all(isinstance(row['more']['tried'], list) for row in refused), refused
        assert any(row['more']['tried'] for row in refused), refused


def _save_host_logs(context):
    for name in context.hosts.names:
        (_log_folder(context) / f'{name}.log').write_text(context.hosts.log_of(name))
