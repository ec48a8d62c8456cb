"""Steps for contract publication and network cuts."""

import json
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from features.cells import contract
from standins import wait_until


@when('two operators publish version {version:d} at once through different daemons')
def publish_race(context, version):
    names = list(context.cell.daemons)
    with ThreadPoolExecutor(2) as pool:
        futures = [
            pool.submit(context.cell.publish, contract(version), version - 1, name)
            for name in (names[0], names[-1])
        ]
        context.replies = [future.result() for future in futures]


@then('one is told that it is committed and the other that it lost')
def check_race(context):
    statuses = sorted(reply.status for reply in context.replies)
    assert statuses == [200, 409], context.replies
    loser = next(reply for reply in context.replies if reply.status == 409)
    assert 'contract-lost' in loser.json()['type'], loser
    assert loser.json()['verdict'] == 'not_run'


@when('version {version:d} is published')
def publish(context, version):
    context.reply = context.cell.publish(contract(version), version - 1)


@then('the operator is told that it is in force')
def check_committed(context):
    assert context.reply.status == 200, context.reply
    assert context.reply.json()['state'] == 'committed'


@then('the operator is told that it was aborted because {name} had not staged it')
def check_aborted(context, name):
    assert context.reply.status == 409, context.reply
    assert name in context.reply.json()['detail'], context.reply


@when('{name} is killed and started again')
def restart(context, name):
    context.cell.kill(name)
    context.cell.start(name)


@then('{name} is ready with version {version:d} within {seconds:g} seconds')
def check_ready(context, name, version, seconds):
    def is_ready():
        reply = context.cell.try_get(context.cell.daemons[name], '/v1/status')
        if reply is None:
            return False
        status = reply.json()
        return status['ready'] and status['contracts'].get('khangai') == version

    assert wait_until(is_ready, seconds)


@when('an operator publishes a contract with {change}')
def publish_invalid_contract(context, change):
    document = contract(2)
    document.update(json.loads(change))
    context.reply = context.cell.publish(document, 1)


@then('it is refused as not_run and the answer names {words}')
def check_refusal(context, words):
    assert 400 <= context.reply.status < 500, context.reply
    assert context.reply.json()['verdict'] == 'not_run'
    assert words in context.reply.json()['detail'], context.reply


@when('the link from {source} to {target} is cut both ways')
def cut_both(context, source, target):
    context.cell.cut((source, target), (target, source))


@when('the link from {source} to {target} is cut one way')
def cut_one(context, source, target):
    context.cell.cut((source, target))


@when('{name} is cut off from everything')
def cut_off(context, name):
    context.cell.cut((name, '*'), ('*', name))


@when('the zone {zone} is cut off from the rest and from the log')
def cut_zone(context, zone):
    inside = [daemon.name for daemon in context.cell.daemons.values() if daemon.zone == zone]
    outside = [daemon.name for daemon in context.cell.daemons.values() if daemon.zone != zone]
    outside.append('log')
    pairs = [(inner, outer) for inner in inside for outer in outside]
    context.cell.cut(*pairs, *[(outer, inner) for inner, outer in pairs])


@when('all cut links are restored')
def heal(context):
    context.cell.cut()


@then('{name} keeps its shards')
def check_keeps_shards(context, name):
    shards = context.cell.request_as_operator(name, 'GET', '/v1/shards').json()
    own_shards = [shard for shard in shards if shard['owner'].startswith(name)]
    assert own_shards, shards
    assert {shard['level'] for shard in own_shards} == {'whole'}, own_shards
    assert context.cell.log_of(name).count('was silent') == 0
    assert 'yielded' not in context.cell.log_of(name)
