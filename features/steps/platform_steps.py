"""Steps for real entry hosts that use the stand-in of the users' platform."""

import signal
import time

from behave import given, then, when

from standins import (
    EntryHosts,
    StateWatch,
    UsersPlatform,
    find_duplicate_runs,
    find_overallocated_runners,
    wait_for,
)

COMPLETED = 'completed'
#: Seconds for which hosts are queried during an outage, and after the last completion.
OUTAGE_WATCH_SECONDS = 1.5
SETTLE_SECONDS = 2.0


def make_job(cpu=1000, seconds=0.2, count=1, **fields):
    """Return a job of one step; its payload tells the stand-in runner what to do."""
    step = {'count': count, 'cpu': cpu, 'mem_mb': 10, 'estimate_ms': int(seconds * 1000), **fields}
    return {'spec': f'{cpu} {seconds}', 'steps': [step]}


@given('the platform and {count:d} entry hosts')
def start_platform(context, count):
    start_hosts(context, count)


def start_hosts(context, count, block=1, **fields):
    """Start a platform and hosts; features that run at the same time need different blocks."""
    context.platform = UsersPlatform(**fields)
    context.platform.start()
    context.stack.callback(context.platform.stop)
    context.platform.configure()
    context.hosts = EntryHosts(context.platform, count, block)
    context.stack.callback(context.hosts.close)
    for name in context.hosts.names:
        context.hosts.start(name)
    context.hosts.wait_ready()
    context.path_by_id = {}


def submit_job(context, job, body, queue='plain', host=None):
    """Submit a job repeatedly, as clients do, until a host accepts it."""
    path = f'/{queue}/{job:016x}'
    context.path_by_id[job] = path
    replies = []

    def is_accepted():
        names = [name for name, process in context.hosts.process_by_name.items()]
        name = host or names[(job + len(replies)) % len(names)]
        replies.append(context.hosts.request(name, 'POST', path, body))
        return replies[-1].status == 200

    wait_for(is_accepted)


def get_job_state(context, job, host):
    return context.hosts.request(host, 'GET', context.path_by_id[job]).body.get('state')


def wait_for_state(context, job, wanted, hosts=None):
    for name in hosts or context.hosts.names:
        wait_for(lambda name=name: get_job_state(context, job, name) == wanted)


@when('a job is submitted to the queue {queue}')
def submit_one(context, queue):
    submit_job(context, 1, make_job(count=2), queue)


@then('every host reports that it is {wanted}')
def check_state_on_all_hosts(context, wanted):
    wait_for_state(context, 1, wanted)


@then('the other hosts report that the job is completed')
def check_completed_on_other_hosts(context):
    others = [name for name in context.hosts.names if name != context.killed]
    wait_for_state(context, 1, COMPLETED, others)


@then('no task ran twice and no runner exceeded its capacity')
def check_runs(context):
    runs = context.platform.collect_runs()
    assert not find_duplicate_runs(runs), find_duplicate_runs(runs)
    assert not find_overallocated_runners(runs), find_overallocated_runners(runs)


@when('{count:d} jobs of 3 tasks are submitted to all hosts')
def submit_many(context, count):
    for job in range(1, count + 1):
        submit_job(context, job, make_job(1500, 0.1, 3), 'advised' if job % 2 else 'plain')


@when("{count:d} jobs are submitted while a third of the store's answers are lost")
def submit_with_lost_answers(context, count):
    context.platform.store.faults.lose_share = 0.33
    for job in range(1, count + 1):
        submit_job(context, job, make_job(1500, 0.1, 2))
    context.platform.store.faults.lose_share = 0.0


@then('all of them are completed')
def wait_for_all_completed(context):
    for job in context.path_by_id:
        wait_for(
            lambda job=job: any(
                get_job_state(context, job, name) == COMPLETED for name in context.hosts.names
            )
        )


@when('{method} {path} is requested with {body}')
def send_invalid_request(context, method, path, body):
    content = None if body == 'nothing' else body
    context.reply = context.hosts.request(context.hosts.names[0], method, path, content)


@then('the answer is {status:d}')
def check_answer_status(context, status):
    assert context.reply.status == status, context.reply


def submit_long_job(context, seconds=1.5):
    submit_job(context, 1, make_job(seconds=seconds))
    wait_for(lambda: context.platform.runs)


@when('a long job is submitted and cancelled while it runs')
def cancel_running(context):
    submit_long_job(context, 30)
    reply = context.hosts.request(context.hosts.names[1], 'DELETE', context.path_by_id[1])
    assert reply.status == 200, reply


@then('its task is stopped')
def check_task_stopped(context):
    wait_for(lambda: context.platform.collect_runs()[0].ended is not None)
    assert [run.outcome for run in context.platform.runs] == ['stopped']


@when('a long job is submitted and the owner is killed while it runs')
def kill_owner(context):
    submit_long_job(context)
    context.killed = context.hosts.owner()
    context.hosts.kill(context.killed)


@when('the owner is killed while a long job runs on a runner whose entry {fate}')
def kill_owner_of_long(context, fate):
    submit_long_job(context, 30)
    context.killed = context.hosts.owner()
    context.hosts.kill(context.killed)
    if fate == 'is removed':
        context.platform.store.put('keyed.servers', context.platform.runs[0].runner, None)


@when('its client cancels the job at another host')
def cancel_elsewhere(context):
    other = next(name for name in context.hosts.names if name != context.killed)
    path = context.path_by_id[1]
    wait_for(lambda: context.hosts.request(other, 'DELETE', path).status == 200)


@when('a job is submitted and all hosts are killed and started again')
def restart_all_hosts(context):
    submit_job(context, 1, make_job())
    for name in context.hosts.names:
        context.hosts.kill(name)
    for name in context.hosts.names:
        context.hosts.start(name)
    context.hosts.wait_ready()


@when('the store is down while jobs are submitted')
def submit_during_store_outage(context):
    context.platform.store.faults.down = True
    # Hosts detect the outage at their next reads and appends.
    wait_for(lambda: not any(context.hosts.is_ready(name) for name in context.hosts.names))
    context.refusals = []
    for job in range(10, 16):
        name = context.hosts.names[job % 3]
        context.refusals.append(
            context.hosts.request(name, 'POST', f'/plain/{job:016x}', make_job())
        )


@then('each is refused with a Retry-After time, and none of them runs')
def check_all_refused(context):
    assert [reply.status for reply in context.refusals] == [503] * 6, context.refusals
    assert all(reply.retry_after for reply in context.refusals)


@when('the platform is available again')
def restore_platform(context):
    context.platform.store.faults.down = False
    context.hosts.wait_ready()


@then('a new job is completed')
def check_new_job(context):
    submit_job(context, 1, make_job())
    wait_for_state(context, 1, COMPLETED)
    assert {run.task.split('.')[0] for run in context.platform.runs} == {f'{1:016x}'}


@when('a long job is submitted and its runner crashes')
def runner_crashes(context):
    submit_long_job(context)
    crash_first_runner(context)


def crash_first_runner(context):
    """Crash the runner of the first run and remove its entry."""
    platform = context.platform
    crashed = next(runner for runner in platform.runners if runner.name == platform.runs[0].runner)
    crashed.crash()
    platform.store.put('keyed.servers', crashed.name, None)


@when('the owner is stopped while jobs are submitted to the others')
def stop_owner(context):
    # Hosts may become ready to store jobs before one of them owns the cell.
    wait_for(context.hosts.owner)
    context.killed = context.hosts.owner()
    others = [name for name in context.hosts.names if name != context.killed]
    context.hosts.send_signal(context.killed, signal.SIGTERM)
    for job in range(1, 13):
        submit_job(context, job, make_job(), host=others[job % 2])


@then('the stopped host has exited with status 0')
def check_exit_status(context):
    assert context.hosts.process_by_name[context.killed].wait(60) == 0


def find_member_record(context, name):
    return context.platform.store.newest_value('keyed.cell', f'm/{name}')


@then('the store has no member record of the stopped host')
def check_member_deleted(context):
    assert not find_member_record(context, context.killed)


@when('the stopped host is started again')
def start_stopped_host(context):
    context.hosts.start(context.killed)


@then('the store has a member record of each host')
def check_members(context):
    wait_for(lambda: all(find_member_record(context, name) for name in context.hosts.names))


def start_writer(context):
    context.writer = context.platform.make_other_writer('1')
    context.writer.start()
    context.stack.callback(context.writer.stop)


@when("another writer fills the runners' topic while {count:d} jobs are submitted")
def submit_beside_writer(context, count):
    start_writer(context)
    for job in range(1, count + 1):
        submit_job(context, job, make_job(1500, 0.3, 3), 'advised' if job % 2 else 'plain')


@then('every host still runs and has counted unreadable records')
def check_hosts_alive(context):
    assert context.writer.written > 100, context.writer.written
    for name, process in context.hosts.process_by_name.items():
        assert process.poll() is None, f'{name} has exited'
        log = context.hosts.log_of(name)
        assert 'Traceback' not in log and 'eliot:traceback' not in log, log[-3000:]
        counted = 'dandelionreel_unreadable_records_total{reason="syntax",topic="runners"}'
        assert counted in context.hosts.metrics(name), context.hosts.metrics(name)


@when('another writer is active, and the owner is killed while a long job runs')
def kill_owner_beside_writer(context):
    start_writer(context)
    kill_owner(context)


@when('the store goes down while {count:d} jobs run, until all of them have ended')
def stop_store_during_jobs(context, count):
    for job in range(1, count + 1):
        submit_job(context, job, make_job(seconds=2.0))
    wait_for(lambda: len(context.platform.runs) == count)
    context.platform.store.faults.down = True
    context.watch = StateWatch(context.platform, context.hosts, context.path_by_id.values())
    wait_for(lambda: all(run.ended for run in context.platform.collect_runs()))


@then('no host reports any of them as completed')
def check_none_completed(context):
    until = time.monotonic() + OUTAGE_WATCH_SECONDS
    while time.monotonic() < until:
        context.watch.query_hosts()
    assert not context.watch.shown_at_by_job, context.watch.shown_at_by_job
    assert context.watch.reply_count, 'no host has replied'


@when('{hosts} and a runner on which jobs ended crash before the platform is available again')
def lose_hosts_and_runner(context, hosts):
    lost = context.hosts.names if hosts == 'all hosts' else [context.hosts.owner()]
    for name in lost:
        context.hosts.kill(name)
    crash_first_runner(context)
    context.lost_runner = context.platform.runs[0].runner
    for name in lost:
        context.hosts.start(name)
    restore_platform(context)


@then('all of them are reported as completed, each only once the store has its end')
def check_completed_as_stored(context):
    wait_for(context.watch.all_ended)
    assert not context.watch.unstored, context.watch.unstored


@then('no task was started after its job was reported as completed')
def check_not_started_after_completion(context):
    # A start that was already sent when the job completed may arrive a little later.
    latest_start = time.monotonic() + SETTLE_SECONDS
    while time.monotonic() < latest_start:
        context.watch.query_hosts()
    started = context.watch.find_starts_after_completion(context.platform.collect_runs())
    assert not started, started


@then('each job that ended on another runner has run once')
def check_surviving_ends_are_final(context):
    runs_by_task = {}
    for run in context.platform.collect_runs():
        runs_by_task.setdefault(run.task, []).append(run.runner)
    kept = [runners for runners in runs_by_task.values() if runners[0] != context.lost_runner]
    assert kept and all(len(runners) == 1 for runners in kept), runs_by_task
