"""Steps for configurations with many routes, without I/O."""

import json
import time

from behave import given, then, when

from dandelionreel.cell.model import Configuration, Queue
from dandelionreel.platform import JsonRecordCodec
from features.steps.large_configuration_steps import make_large_document

#: The fastest of so many measurements counts, as other processes may run beside it.
MEASUREMENTS = 5
#: Factor that a lookup may take longer among thousands of routes.
MAX_SLOWDOWN = 10


@given('a host that has decoded a configuration with {count:d} routes')
def decoded_configuration(context, count):
    context.codec = JsonRecordCodec()
    context.document = make_large_document(1, count)
    context.former = context.codec.decode_configuration(json.dumps(context.document).encode())


@when('it decodes a version with {count:d} routes more')
def decode_next_version(context, count):
    added = make_large_document(2, count)['routes']
    document = {**context.document, 'version': 2, 'routes': context.document['routes'] + added}
    context.current = context.codec.decode_configuration(json.dumps(document).encode())


@then('{kept:d} of its queues are those of the former version, and {added:d} are new')
def check_kept_queues(context, kept, added):
    former_queues = context.former.queue_by_name
    queues = context.current.queue_by_name
    kept_count = sum(queues[name] is queue for name, queue in former_queues.items())
    assert (kept_count, len(queues)) == (kept, kept + added), (kept_count, len(queues))


def make_queue(prefix):
    return Queue(
        name=f'r{prefix}',
        host='desk.example',
        path_prefix=prefix,
        service='desk',
        priority=0,
        max_attempts=1,
        slack=1,
        latency=1,
        timeout=1,
        advice=None,
    )


def make_configuration(prefixes):
    return Configuration(1, tuple(make_queue(prefix) for prefix in prefixes), (), 0)


@given('a configuration with the prefixes "/a/", "/a/b/", "/a/b" and "" among {count:d} others')
def nested_prefixes(context, count):
    nested = ['/a/', '/a/b/', '/a/b', '']
    context.few = make_configuration(nested)
    context.many = make_configuration([f'/other{number:04d}/' for number in range(count)] + nested)


def measure_lookups(configuration, path, count):
    """Return the shortest time of so many lookups, in seconds."""
    times = []
    for _ in range(MEASUREMENTS):
        started_at = time.perf_counter()
        for _ in range(count):
            configuration.find_queue('desk.example', path)
        times.append(time.perf_counter() - started_at)
    return min(times)


@when('a call to {path} is looked up {count:d} times')
def look_up(context, path, count):
    context.queue = context.many.find_queue('DESK.example', path)
    context.seconds_of_many = measure_lookups(context.many, path, count)
    context.seconds_of_few = measure_lookups(context.few, path, count)


@then(
    'it belongs to "{prefix}", and {count:d} lookups among 4 routes take at least a tenth as long'
)
@then('it belongs to "", and {count:d} lookups among 4 routes take at least a tenth as long')
def check_lookups(context, count, prefix=''):
    assert context.queue.path_prefix == prefix, context.queue
    assert context.seconds_of_many <= MAX_SLOWDOWN * context.seconds_of_few, (
        context.seconds_of_many,
        context.seconds_of_few,
    )
