"""Projections that read entries and configurations, for scenarios without a process."""

import json

from features.entry_fuzz import read_once
from features.entry_parts import CONFIGURATION, HostProjections, encode_record, make_raw_topic

OTHER = '10.0.0.2:7000'


def read_configurations(projections, *documents):
    """Let the projections of a host read configurations, all in one batch."""
    topic, raw = make_raw_topic('keyed.op')
    raw.frames = [encode_record(b'config', content) for content in documents]
    read_once(topic, projections.configuration, projections, 0)


def make_configuration_record(**fields):
    return json.dumps({**CONFIGURATION, **fields}).encode()


def read_entries(context, *records):
    """Let the host read entries ``(runner, content)``, and update the owner's cell by them."""
    raw = [encode_record(runner.encode(), content) for runner, content in records]
    context.raw.frames.extend(raw)
    context.follower = read_once(
        context.topic, context.projections.runners, context.projections, context.offset
    )
    context.offset = context.follower.offset
    show_entries_to_owner(context)


def show_entries_to_owner(context):
    small = getattr(context, 'small', None)
    if small is not None:
        small.registration_by_id = context.projections.runners.registration_by_id
        small.update_runners()


def prepare_projections(context):
    context.projections = HostProjections()
    read_configurations(
        context.projections,
        make_configuration_record(services=[{'name': 'desk'}, {'name': 'other'}]),
    )
    context.topic, context.raw = make_raw_topic()
    context.offset = 0
