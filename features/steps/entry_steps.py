"""Steps on invalid entries and records that other writers may have left in the store."""

from behave import given, then, when

from dandelionreel.cell.model import StoreError
from features.cell_parts import SmallCell, step
from features.entry_fuzz import Fuzz, read_once
from features.entry_parts import (
    BAD_ENTRIES,
    BAD_FRAMES,
    HostProjections,
    encode_page,
    encode_record,
    make_entry,
    make_raw_topic,
)
from features.entry_reading import (
    OTHER,
    make_configuration_record,
    prepare_projections,
    read_configurations,
    read_entries,
    show_entries_to_owner,
)


@given('a runner with a running task and a valid entry')
def runner_with_task(context):
    prepare_projections(context)
    context.small = SmallCell(())
    read_entries(context, ('i-1', make_entry()))
    context.small.poll('i-1')
    context.small.add_job('j1', [step(cpu=8000)])
    context.small.plan()
    (context.run,) = context.small.runs_on('i-1')
    read_entries(context, ('i-2', make_entry(address=OTHER)))


@when('its entry becomes one of another service')
def change_service(context):
    read_entries(context, ('i-1', make_entry(service='other')))


@when('its entry becomes {bad}')
def change_entry(context, bad):
    read_entries(context, ('i-1', BAD_ENTRIES[bad]))


@then('no further task is started on it')
def check_no_new_start(context):
    small = context.small
    small.poll('i-1', running=[context.run])
    small.add_job('j2', [step(cpu=4000, count=4)])
    assert all(start.runner != 'i-1' for start in small.plan().starts)
    assert not small.cell.runner_by_id['i-1'].is_usable(small.now)


@then('its task stays allocated there, and is not started elsewhere')
def check_task_counted(context):
    small = context.small
    small.poll('i-2')
    starts = small.plan().starts
    assert all(start.task != context.run[0] for start in starts), starts
    assert context.run in small.runs_on('i-1')


@then('it is still polled at its last known address')
def check_still_polled(context):
    registration = context.small.cell.runner_by_id['i-1'].registration
    assert (registration.address, registration.port) == ('10.0.0.1', 7000), registration
    assert context.projections.runners.find_registration('i-1').port == 7000
    assert context.small.cell.runner_by_id['i-1'].listed


@then('its next valid entry makes it usable again')
def check_usable_again(context):
    read_entries(context, ('i-1', make_entry()))
    small = context.small
    small.poll('i-1', running=[context.run])
    assert small.cell.runner_by_id['i-1'].is_usable(small.now)


@when('all its leases have expired')
def expire_leases(context):
    context.small.poll('i-2')
    context.small.cell.handle_lapsed_runner('i-1')


@then('its task is started elsewhere')
def check_started_elsewhere(context):
    starts = context.small.plan().starts
    assert [(start.task, start.runner) for start in starts] == [(context.run[0], 'i-2')]


@given('a host that knows two valid entries')
def read_two_entries(context):
    prepare_projections(context)
    context.small = SmallCell(())
    read_entries(context, ('i-1', make_entry()), ('i-2', make_entry(address=OTHER)))


@when('there is a third entry with {bad}')
def read_third_entry(context, bad):
    read_entries(context, ('i-3', BAD_ENTRIES[bad]))


ODD_KEYS = {
    'with a line feed': 'i\n3',
    'with a space': 'i 3',
    'with a zero byte': 'i\x00',
    'with an umlaut': 'ü',
}


@when('there is a valid entry under the key {key}')
def read_entry_with_odd_key(context, key):
    context.odd_key = ODD_KEYS[key]
    read_entries(context, (context.odd_key, make_entry()))


@then('the entry is logged once and counted')
def check_odd_key_logged(context):
    (line,) = context.projections.lines_of(context.odd_key)
    assert 'cannot be read' in line['text'], line
    assert context.projections.unreadable == {('runners', 'key'): 1}


@then('only the two runners are known')
def check_two_known(context):
    assert context.projections.runners.registration_by_id.keys() == {'i-1', 'i-2'}
    assert context.small.cell.runner_by_id.keys() == {'i-1', 'i-2'}


@given('a runner with a running task whose entry was removed')
def runner_with_removed_entry(context):
    runner_with_task(context)
    read_entries(context, ('i-1', b''))


@when('another entry at its address has {bad}')
def read_entry_at_same_address(context, bad):
    content = make_entry() if bad == 'nothing wrong' else BAD_ENTRIES[bad]
    read_entries(context, ('i-9', content))


@then('its task stays assigned to it, and is not started elsewhere')
def check_task_still_assigned(context):
    show_entries_to_owner(context)
    assert context.small.runs_on('i-1') == (context.run,), context.small.runs_on('i-1')
    assert not context.small.plan().starts


@when('an entry of an unconfigured service at its address is read before the configuration')
def read_entry_before_configuration(context):
    context.late_host = HostProjections()
    topic, raw = make_raw_topic()
    raw.frames = [encode_record(b'i-9', BAD_ENTRIES['a service that is not configured'])]
    read_once(topic, context.late_host.runners, context.late_host, 0)
    assert 'i-9' in context.late_host.runners.registration_by_id
    read_configurations(context.late_host, make_configuration_record())
    context.projections = context.late_host


@when('the start of a second task on it is planned, and its entry becomes invalid JSON')
def plan_start_before_bad_entry(context):
    context.small.add_job('j2', [step(cpu=4000)])
    (context.pending,) = context.small.plan(start=False).starts
    assert context.small.cell.may_send_start(context.pending)
    change_entry(context, 'invalid JSON')


@then('the order is not sent')
def check_order_not_sent(context):
    assert context.pending.runner == 'i-1'
    assert not context.small.cell.may_send_start(context.pending)


@when('another term begins')
def begin_other_term(context):
    context.small = SmallCell((), epoch=2)
    show_entries_to_owner(context)


@then('the next owner polls i-2 only')
def check_one_polled(context):
    assert context.small.cell.runner_by_id.keys() == {'i-2'}


@when('the host starts again from a snapshot')
def restart_from_snapshot(context):
    context.raw.pages = [
        encode_page([('i-1', BAD_ENTRIES['invalid JSON']), ('i-2', make_entry(address=OTHER))])
    ]
    read_once(context.topic, context.projections.runners, context.projections, None)
    show_entries_to_owner(context)


@given('a host that follows a topic')
def follow_topic(context):
    prepare_projections(context)


@when('it reads {bad} between two valid entries')
def read_bad_frame(context, bad):
    context.raw.frames = [
        encode_record(b'i-1', make_entry()),
        BAD_FRAMES[bad],
        encode_record(b'i-2', make_entry(address=OTHER)),
    ]
    context.follower = read_once(context.topic, context.projections.runners, context.projections, 0)
    context.end = 3


@then('it knows both entries and has read to the end')
def check_both_known(context):
    assert context.projections.runners.registration_by_id.keys() == {'i-1', 'i-2'}
    assert context.follower.offset == context.end


@when('its read of three entries is cut in the last one')
def read_truncated_record(context):
    context.raw.frames = [
        encode_record(b'i-1', make_entry()),
        encode_record(b'i-2', make_entry(address=OTHER)),
        encode_record(b'i-3', make_entry(address='10.0.0.3:7000')),
    ]
    context.raw.cut = 5
    context.follower = read_once(context.topic, context.projections.runners, context.projections, 0)


@then('the last one is read again completely')
def check_read_again(context):
    assert context.follower.offset == 2
    context.raw.cut = 0
    again = read_once(context.topic, context.projections.runners, context.projections, 2)
    assert again.offset == 3
    assert 'i-3' in context.projections.runners.registration_by_id


@when('its read is cut in the header')
def truncate_header(context):
    context.raw.cut = 7
    context.attempt = lambda: read_once(
        context.topic, context.projections.runners, context.projections, 0
    )


@when('each page ends with the key after which it began')
def read_pages_without_progress(context):
    context.raw.pages = [encode_page([('i-1', make_entry())], has_more=True)] * 9
    context.attempt = lambda: read_once(
        context.topic, context.projections.runners, context.projections, None
    )


@then('the read counts as a failure of the store')
def check_store_failure(context):
    try:
        context.attempt()
    except StoreError:
        return
    raise AssertionError('no StoreError was raised')


BAD_ITEMS = {
    'without a key': {'value': 'e30=', 'offset': 1},
    'with a number as key': {'key': 7, 'value': 'e30=', 'offset': 1},
    'with an unpaired surrogate as key': {'key': '\ud800', 'value': 'e30=', 'offset': 1},
    'with bad base64': {'key': 'i-3', 'value': '!', 'offset': 1},
    'with an unpaired surrogate as value': {'key': 'i-3', 'value': '\ud800', 'offset': 1},
    'with a list as value': {'key': 'i-3', 'value': [], 'offset': 1},
    'with a text as offset': {'key': 'i-3', 'value': 'e30=', 'offset': 'x'},
    'that is null': None,
}


@when('it reads a page with an item {item} between two valid ones')
def read_bad_item(context, item):
    rows = [('i-1', make_entry()), BAD_ITEMS[item], ('i-2', make_entry(address=OTHER))]
    context.raw.pages = [encode_page(rows, end=8)]
    context.follower = read_once(
        context.topic, context.projections.runners, context.projections, None
    )
    context.end = 8


@when('a page shows its entry with bad base64')
def read_known_entry_as_bad_item(context):
    rows = [{'key': 'i-1', 'value': '!', 'offset': 1}, ('i-2', make_entry(address=OTHER))]
    context.raw.pages = [encode_page(rows)]
    read_once(context.topic, context.projections.runners, context.projections, None)
    show_entries_to_owner(context)


@when('it reads the same unreadable entry 100 times, and then a valid one')
def read_same_bad_entry(context):
    bad = ('i-1', BAD_ENTRIES['invalid JSON'])
    read_entries(context, ('i-1', make_entry()))
    for _ in range(100):
        read_entries(context, bad)
        context.projections.clock.advance(1.0)
    read_entries(context, ('i-1', make_entry()))


@then('it logs the two changes and counts 100 unreadable records')
def check_changes_logged(context):
    lines = context.projections.lines_of('i-1')
    assert len([line for line in lines if 'cannot be read' in line['text']]) == 1, lines
    assert len([line for line in lines if 'can be read again' in line['text']]) == 1, lines
    assert sum(context.projections.unreadable.values()) == 100, context.projections.unreadable


@when('it reads 5000 unreadable entries of different keys')
def read_many_bad_keys(context):
    records = [(f'x-{number}', BAD_ENTRIES['invalid JSON']) for number in range(5000)]
    read_entries(context, *records)


@then('it logs 20 at most and counts 5000 unreadable records')
def check_few_lines(context):
    lines = [line for line in context.projections.lines if 'cannot be read' in line['text']]
    assert 1 <= len(lines) <= 20, len(lines)
    assert sum(context.projections.unreadable.values()) == 5000
    assert not context.projections.runners.registration_by_id


@when('{cases:d} batches with a mutated record are read with seed {seed:d}')
def run_fuzz(context, cases, seed):
    context.results = Fuzz(seed).run_cases(cases)


@then('no valid record and no offset is lost, and no reader fails')
def check_nothing_lost(context):
    results = context.results
    assert not results.failures, (dict(results.failure_count_by_kind), results.failures[:10])
