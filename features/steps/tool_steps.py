"""Steps that run the tool in this process, through its public entry point."""

import io
import json
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import then, when

from dandelionreel.cli._tool import main
from dandelionreel.kernel import Environment, load_settings
from features.cells import job
from standins import wait_until

VALID_SETTINGS = {
    'host': 'entry-1',
    'availability_zone': 'here',
    'callers': {'address': '127.0.0.1', 'port': 7001},
    'admin': {'address': '127.0.0.1', 'port': 7002},
    'peers': {'address': '127.0.0.1', 'port': 7003},
    'platform': {'log_plugin': 'memory', 'hosts_plugin': 'static'},
}


def _run_tool(context, words):
    out, err = io.StringIO(), io.StringIO()
    environment = Environment(stdout=out, stderr=err)
    context.status = int(main(words, environment))
    context.out, context.err = out.getvalue(), err.getvalue()


@when('the tool is run with {words}')
def run_tool(context, words):
    _run_tool(context, words.split())


@when('the tool queries the cell for {words}')
def query_cell(context, words):
    daemon = context.cell.daemons['ub-east-d0']
    _run_tool(context, [*words.split(), '--admin', f'{daemon.address}:{daemon.admin_port}'])


@then('it exits with {status:d} and writes {text}')
def check_output(context, status, text):
    assert context.status == status, (context.status, context.err)
    assert text in context.out, context.out
    assert not context.err


@then('it exits with {status:d} and the one line of error names {text}')
def check_error(context, status, text):
    assert context.status == status, (context.status, context.out, context.err)
    assert context.err.startswith('dandelionreel: error: '), context.err
    assert context.err.count('\n') == 1 and text in context.err, context.err
    assert not context.out


@then('all settings under examples/khangai and examples/kingston load')
def check_examples(context):
    files = [*Path('examples/khangai').glob('entry-*'), *Path('examples/kingston').glob('entry-*')]
    zones = {load_settings(path.read_bytes()).availability_zone for path in files}
    assert len(files) == 17 and len(zones) == 7, (len(files), zones)


@when('the tool checks settings with {change}')
def check_changed_settings(context, change):
    path = context.stack.enter_context(_temporary_settings_path())
    path.write_text(json.dumps({**VALID_SETTINGS, **json.loads(change)}))
    _run_tool(context, ['check-settings', str(path)])


def _temporary_settings_path():
    import tempfile
    from contextlib import contextmanager

    @contextmanager
    def manage():
        with tempfile.TemporaryDirectory() as folder:
            yield Path(folder) / 'settings.json'

    return manage()


@when('{count:d} long jobs are submitted and all are cancelled with one command')
def cancel_all(context, count):
    names = list(context.cell.daemons)
    spec = job('run 30', idempotent=True, demand={'processors': 2, 'memory_mb': 64})
    with ThreadPoolExecutor(8) as pool:
        replies = list(
            pool.map(lambda index: context.cell.submit(names[index % 4], spec), range(count)),
        )
    context.submitted_ids = {reply.json()['id'] for reply in replies}
    assert len(context.submitted_ids) == count
    daemon = context.cell.daemons['ub-east-d0']
    admin = f'{daemon.address}:{daemon.admin_port}'
    _run_tool(context, ['job', 'cancel', *sorted(context.submitted_ids), '--admin', admin])
    assert context.status == 0, context.err
    assert f'{count}' in context.out


@then('none of them is left waiting or running within {seconds:g} seconds')
def check_all_cancelled(context, seconds):
    def unfinished():
        found = set()
        for name in ('ub-east-d0', 'ub-west-d0'):
            for state in ('waiting', 'running'):
                path = f'/v1/jobs?state={state}&limit=1000'
                page = context.cell.request_as_operator(name, 'GET', path).json()
                found.update(view['id'] for view in page['jobs'])
        return found & context.submitted_ids

    assert wait_until(lambda: not unfinished(), seconds, 0.3), len(unfinished())
    runs = [run for run in context.cell.runs() if run['job'] in context.submitted_ids]
    assert all(run['ended_at'] for run in runs)
