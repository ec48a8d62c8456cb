"""Steps on real entry hosts against the stand-in of the users' platform."""

import signal

from behave import given, then, when

from standins import (
    EntryHosts,
    UsersPlatform,
    find_duplicate_runs,
    find_overallocated_runners,
    wait_for,
)

DONE = 'completed'


def task(cpu=1000, seconds=0.2, count=1, **fields):
    """Return a job of one step; the payload tells the runner what to do."""
    step = {'count': count, 'cpu': cpu, 'mem_mb': 10, 'estimate_ms': int(seconds * 1000), **fields}
    return {'spec': f'{cpu} {seconds}', 'steps': [step]}


@given('the platform and {count:d} entry hosts')
def start_platform(context, count):
    start_hosts(context, count)


def start_hosts(context, count, block=1, **fields):
    """Start a platform and hosts; features that run at the same time need other blocks."""
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


def hand_in(context, job, body, queue='plain', host=None):
    """Hand a job in until a host answers for sure, as clients do."""
    path = f'/{queue}/{job:016x}'
    context.path_by_id[job] = path
    replies = []

    def answered():
        names = [name for name, process in context.hosts.process_by_name.items()]
        name = host or names[(job + len(replies)) % len(names)]
        replies.append(context.hosts.ask(name, 'POST', path, body))
        return replies[-1].status == 200

    wait_for(answered)


def state(context, job, host):
    return context.hosts.ask(host, 'GET', context.path_by_id[job]).body.get('state')


def wait_state(context, job, wanted, hosts=None):
    for name in hosts or context.hosts.names:
        wait_for(lambda name=name: state(context, job, name) == wanted)


@when('a job is handed in at the queue {queue}')
def hand_in_one(context, queue):
    hand_in(context, 1, task(count=2), queue)


@then('every host tells that it is {wanted}')
def every_host(context, wanted):
    wait_state(context, 1, wanted)


@then('the other hosts tell that the job is completed')
def other_hosts(context):
    others = [name for name in context.hosts.names if name != context.killed]
    wait_state(context, 1, DONE, others)


@then('no task ran twice and no runner was overfull')
def judge(context):
    runs = context.platform.collect_runs()
    assert not find_duplicate_runs(runs), find_duplicate_runs(runs)
    assert not find_overallocated_runners(runs), find_overallocated_runners(runs)


@when('{count:d} jobs of 3 tasks are handed in all over')
def hand_in_many(context, count):
    for job in range(1, count + 1):
        hand_in(context, job, task(1500, 0.1, 3), 'advised' if job % 2 else 'plain')


@when("{count:d} jobs are handed in while a third of the store's answers are lost")
def hand_in_lossy(context, count):
    context.platform.store.faults.lose_share = 0.33
    for job in range(1, count + 1):
        hand_in(context, job, task(1500, 0.1, 2))
    context.platform.store.faults.lose_share = 0.0


@then('all of them are completed')
def all_completed(context):
    for job in context.path_by_id:
        wait_for(
            lambda job=job: any(state(context, job, name) == DONE for name in context.hosts.names)
        )


@when('{method} {path} is asked with {body}')
def ask_bad(context, method, path, body):
    content = None if body == 'nothing' else body
    context.reply = context.hosts.ask(context.hosts.names[0], method, path, content)


@then('the answer is {status:d}')
def answer_is(context, status):
    assert context.reply.status == status, context.reply


def hand_in_long(context, seconds=1.5):
    hand_in(context, 1, task(seconds=seconds))
    wait_for(lambda: context.platform.runs)


@when('a long job is handed in and cancelled once it runs')
def cancel_running(context):
    hand_in_long(context, 30)
    reply = context.hosts.ask(context.hosts.names[1], 'DELETE', context.path_by_id[1])
    assert reply.status == 200, reply


@then('its task is stopped')
def task_stopped(context):
    wait_for(lambda: context.platform.collect_runs()[0].ended is not None)
    assert [run.outcome for run in context.platform.runs] == ['stopped']


@when('a long job is handed in and the owner is killed once it runs')
def kill_owner(context):
    hand_in_long(context)
    context.killed = context.hosts.owner()
    context.hosts.kill(context.killed)


@when('the owner is killed while a long job runs on a runner whose entry {fate}')
def kill_owner_of_long(context, fate):
    hand_in_long(context, 30)
    context.killed = context.hosts.owner()
    context.hosts.kill(context.killed)
    if fate == 'has gone':
        context.platform.store.put('keyed.servers', context.platform.runs[0].runner, None)


@when('its client cancels the job at another host')
def cancel_elsewhere(context):
    other = next(name for name in context.hosts.names if name != context.killed)
    path = context.path_by_id[1]
    wait_for(lambda: context.hosts.ask(other, 'DELETE', path).status == 200)


@when('a job is handed in and all hosts are killed and started again')
def kill_all(context):
    hand_in(context, 1, task())
    for name in context.hosts.names:
        context.hosts.kill(name)
    for name in context.hosts.names:
        context.hosts.start(name)
    context.hosts.wait_ready()


@when('the store is down while jobs are handed in')
def store_down(context):
    context.platform.store.faults.down = True
    # Hosts learn it from their next reads and appends.
    wait_for(lambda: not any(context.hosts.is_ready(name) for name in context.hosts.names))
    context.refused = []
    for job in range(10, 16):
        name = context.hosts.names[job % 3]
        context.refused.append(context.hosts.ask(name, 'POST', f'/plain/{job:016x}', task()))


@then('each is refused with a time to come back, and none of them runs')
def refused(context):
    assert [reply.status for reply in context.refused] == [503] * 6, context.refused
    assert all(reply.retry_after for reply in context.refused)


@when('the platform is back')
def store_back(context):
    context.platform.store.faults.down = False
    context.hosts.wait_ready()


@then('a new job is completed')
def new_job(context):
    hand_in(context, 1, task())
    wait_state(context, 1, DONE)
    assert {run.task.split('.')[0] for run in context.platform.runs} == {f'{1:016x}'}


@when('a long job is handed in and its runner crashes')
def runner_crashes(context):
    hand_in_long(context)
    crash_first_runner(context)


def crash_first_runner(context):
    """Let the runner of the first run crash; its entry goes."""
    platform = context.platform
    crashed = next(runner for runner in platform.runners if runner.name == platform.runs[0].runner)
    crashed.crash()
    platform.store.put('keyed.servers', crashed.name, None)


@when('the owner is stopped while jobs are handed in at the others')
def stop_owner(context):
    # Hosts are ready as soon as they can store jobs, which may be before one of them owns.
    wait_for(context.hosts.owner)
    context.killed = context.hosts.owner()
    others = [name for name in context.hosts.names if name != context.killed]
    context.hosts.send(context.killed, signal.SIGTERM)
    for job in range(1, 13):
        hand_in(context, job, task(), host=others[job % 2])


@then('the stopped host has ended with status 0')
def ended_well(context):
    assert context.hosts.process_by_name[context.killed].wait(60) == 0


def start_writer(context):
    context.writer = context.platform.make_other_writer('1')
    context.writer.start()
    context.stack.callback(context.writer.stop)


@when("another writer fills the runners' topic while {count:d} jobs are handed in")
def hand_in_disturbed(context, count):
    start_writer(context)
    for job in range(1, count + 1):
        hand_in(context, job, task(1500, 0.3, 3), 'advised' if job % 2 else 'plain')


@then('every host is alive and has counted unreadable records')
def alive_and_counted(context):
    assert context.writer.written > 100, context.writer.written
    for name, process in context.hosts.process_by_name.items():
        assert process.poll() is None, f'{name} has ended'
        log = context.hosts.log_of(name)
        assert 'Traceback' not in log and 'eliot:traceback' not in log, log[-3000:]
        counted = 'dandelionreel_unreadable_records_total{reason="syntax",topic="runners"}'
        assert counted in context.hosts.metrics(name), context.hosts.metrics(name)


@when('another writer is at work, and the owner is killed once a long job runs')
def kill_owner_disturbed(context):
    start_writer(context)
    kill_owner(context)


@when('the store goes away while a long job runs')
def store_away(context):
    hand_in_long(context, 1.0)
    context.platform.store.faults.down = True


@when('the owner and the runner are lost before the platform is back')
def lose_owner_and_runner(context):
    assert context.platform.store.faults.down
    context.killed = context.hosts.owner()
    context.hosts.kill(context.killed)
    crash_first_runner(context)
    context.platform.store.faults.down = False


@then('its task has run once')
def ran_once(context):
    assert len(context.platform.collect_runs()) == 1, context.platform.runs
