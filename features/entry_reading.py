"""A host that reads entries and configurations, for scenarios that need no process."""

import json

from features.entry_fuzz import follow
from features.entry_parts import CONFIGURATION, Reader, frame, raw_topic

OTHER = '10.0.0.2:7000'


def operator_reads(reader, *documents):
    """Let a host read configurations, all in one batch."""
    topic, raw = raw_topic('keyed.op')
    raw.frames = [frame(b'config', content) for content in documents]
    follow(topic, reader.configuration, reader, 0)


def configuration(**fields):
    return json.dumps({**CONFIGURATION, **fields}).encode()


def read_entries(context, *records):
    """Let the host read entries ``(runner, content)``, and the owner's cell see them."""
    raw = [frame(runner.encode(), content) for runner, content in records]
    context.raw.frames.extend(raw)
    context.follower = follow(context.topic, context.reader.runners, context.reader, context.offset)
    context.offset = context.follower.offset
    see_entries(context)


def see_entries(context):
    small = getattr(context, 'small', None)
    if small is not None:
        small.registration_by_id = context.reader.runners.registration_by_id
        small.update_runners()


def reader_of_entries(context):
    context.reader = Reader()
    operator_reads(
        context.reader,
        configuration(services=[{'name': 'desk'}, {'name': 'other'}]),
    )
    context.topic, context.raw = raw_topic()
    context.offset = 0
