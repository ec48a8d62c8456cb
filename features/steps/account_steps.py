"""Steps on client accounts, their keys, quotas and jobs."""

import json

import curio
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from dandelionreel.accounts import Caller, digest_key
from dandelionreel.cell.clients._relay import Relay
from dandelionreel.cell.membership._configuration_exchange import ConfigurationExchange
from dandelionreel.cell.model import JobSpec, JobState, RecordBatch, Submission, UnreadableError
from dandelionreel.cell.model._records import (
    MEMBER_PREFIX,
    OWNER_KEY,
    PROGRESS_PREFIX,
    SUBMISSION_PREFIX,
    Member,
    Owner,
    Progress,
    make_record,
)
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.cell.store._projections import CellProjection, ConfigurationProjection
from dandelionreel.cell.store._writer import WriteOutcome
from dandelionreel.http import Request
from dandelionreel.kernel import Journal, ManualClock, Verdict
from dandelionreel.peers import (
    ConfigurationGiven,
    ConfigurationWanted,
    Forward,
    Frame,
    PeerError,
)
from dandelionreel.platform import JsonRecordCodec, _accounts
from features.account_parts import make_account, make_configuration, make_plain_queue
from features.cell_parts import step
from features.client_parts import make_client_api

NOW = 1000.0
KEYS = ('blue-key-1', 'blue-key-2', 'red-key-1', 'new-key', 'removed-key', 'added-key')
JOB = '0123456789abcdef'


class LogCapture:
    """Captures the log."""

    def __init__(self):
        self.text = ''

    def write(self, line):
        self.text += line if isinstance(line, str) else line.decode()

    def flush(self):
        """Nothing is buffered."""


class FreshFollower:
    """A follower that has read the whole topic."""

    complete = True
    fresh_at = float('inf')

    def age(self, now):
        return 0.0

    async def wait_until_fresh(self, since, timeout):
        return True


class RefusingWriter:
    """A writer whose writes are all refused."""

    failing_since = failed_at = 0.0

    def store_is_failing(self, now):
        return False

    async def write(self, records, timeout):
        return WriteOutcome.REFUSED


class StubPeers:
    """Links to a peer that replies with its configuration, or does not answer."""

    def __init__(self, reply=None):
        self.reply = reply
        self.query_count = 0

    async def request(self, member, message, timeout):
        assert isinstance(message, ConfigurationWanted), message
        self.query_count += 1
        if self.reply is None:
            raise PeerError('no answer in time', Verdict.UNKNOWN)
        return Frame(1, 'peer/1', 0, 0, self.reply)


def make_document(version, rows, prefix='/plain/'):
    """Return a configuration with one queue in the format of the operator."""
    route = {'name': 'plain', 'host': 'h', 'path_prefix': prefix, 'service': 'desk'}
    return json.dumps({'version': version, 'routes': [route], 'tenants': rows}).encode()


def make_exchange(context, projection, reply, store_age):
    """Return an exchange with one peer, of a host whose store answered so many seconds ago."""
    context.cell_state = CellState()
    context.cell_state.apply([make_record(f'{MEMBER_PREFIX}peer', Member('south', '127.0.0.1', 1))])
    context.links = StubPeers(reply)
    clock = context.exchange_clock = ManualClock(NOW)
    return ConfigurationExchange(
        'me',
        context.cell_state,
        context.links,
        projection,
        lambda now: NOW - store_age,
        clock,
        context.journal,
    )


def make_projection(context, configuration):
    projection = ConfigurationProjection(JsonRecordCodec(), context.journal)
    projection.current = configuration
    return projection


def build_api(context, accounts, version=5, max_age=None):
    context.lines = LogCapture()
    context.journal = Journal(context.lines, 'me')
    context.journal.open()
    context.stack.callback(context.journal.close)
    queues = (make_plain_queue('plain'), make_plain_queue('open', public=True))
    context.projection = make_projection(context, make_configuration(queues, accounts, version))
    context.cell_projection = CellProjection(ManualClock(NOW), context.journal)
    context.exchange = make_exchange(
        context, context.projection, ConfigurationGiven(version, b'', True), 0.1
    )
    rebuild_api(context, max_age)


def rebuild_api(context, max_age=None, partition_detector=None):
    clock = ManualClock(NOW)
    relay = Relay('me', context.cell_projection.state, context.links, clock, context.journal)
    context.client_api = make_client_api(
        context.projection,
        context.cell_projection,
        FreshFollower(),
        RefusingWriter(),
        relay,
        exchange=context.exchange,
        clock=clock,
        max_age=max_age,
        partition_detector=partition_detector,
    )


@given('a client API with the accounts blue and red')
def api_with_accounts(context):
    blue = make_account('blue', 3, 8, ('blue-key-1', 'blue-key-2'))
    build_api(context, (blue, make_account('red', 1, None, ('red-key-1',))))


@given('a client API with the accounts blue and red, in version {version:d}')
def api_in_version(context, version):
    api_with_accounts(context)
    assert context.projection.version == version


@given('a client API without accounts')
def api_without_accounts(context):
    build_api(context, None)


@given(
    'a client API with the accounts blue and red, whose configuration may be outdated by {age:g} s'
)
def api_with_outdated_configuration(context, age):
    api_with_accounts(context)
    context.exchange = make_exchange(context, context.projection, None, age)


@given('the maximum age of a configuration that keys are checked by is {limit}')
def set_max_key_age(context, limit):
    rebuild_api(context, None if limit == 'unlimited' else float(limit.split()[0]))


@given('peers that {peers}')
def set_peer_reply(context, peers):
    rows = [{'name': 'blue', 'api_keys': ['new-key']}]
    silent = 9.0 if 'store is silent' in peers else 0.1
    reply_by_words = {
        'have a configuration with that key': ConfigurationGiven(6, make_document(6, rows), True),
        'have the same configuration': ConfigurationGiven(5, b'', True),
    }
    context.exchange = make_exchange(context, context.projection, reply_by_words.get(peers), silent)
    rebuild_api(context)


def parse_headers(text):
    if text == 'none':
        return ()
    long = text.replace('100 kB', 'x' * 100_000)
    pairs = (part.strip().partition(': ') for part in long.split(','))
    return tuple((name.lower(), value.strip()) for name, _, value in pairs)


def send_request(context, method, path, headers, body=b''):
    request = Request(method, path, (('host', 'h'), *headers), body)
    context.answer = curio.run(context.client_api.handle, request)


@when('a client counts the jobs with the headers {headers}')
def count_jobs_with_headers(context, headers):
    send_request(context, 'GET', '/plain/', parse_headers(headers))


@when('a client counts the jobs of the public queue without a key')
def count_public_jobs(context):
    send_request(context, 'GET', '/open/', ())


@then('the answer is a {status:d}, and no key is logged')
def check_answer_and_log(context, status):
    assert context.answer.status == status, context.answer
    challenge = context.answer.header('www-authenticate')
    assert (challenge == 'Bearer') is (status == 401), context.answer
    output = context.lines.text + repr(context.answer)
    assert not [key for key in KEYS if key in output], output


@then('random headers get the same answer unless they contain a known key')
def check_random_headers(context):
    words = strategies.sampled_from(['bearer', 'Bearer', 'Basic', *KEYS[:3], ' ', '  ', '\t', 'é'])
    texts = strategies.text(max_size=40) | strategies.lists(words, max_size=6).map(''.join)
    first_refusal = []

    @settings(max_examples=400, deadline=None, database=None, derandomize=True)
    @hypothesis_given(texts)
    def check(text):
        send_request(context, 'GET', '/plain/', (('authorization', text),))
        scheme, _, key = text.partition(' ')
        known = scheme.lower() == 'bearer' and key.lstrip(' ') in KEYS[:3]
        if known:
            assert context.answer.status == 200, (text, context.answer)
            return
        first_refusal.append(context.answer)
        assert context.answer == first_refusal[0], (text, context.answer)
        assert context.answer.status == 401, (text, context.answer)

    check()


@when('a hundred requests with unknown keys arrive')
def request_with_unknown_keys(context):
    for number in range(100):
        send_request(context, 'GET', '/plain/', (('authorization', f'Bearer unknown-{number}'),))
        assert context.answer.status == 401, context.answer


@then('peers were asked once')
def check_queried_once(context):
    assert context.links.query_count == 1, context.links.query_count


@when('a peer with configuration version {version:d} forwards a request of {caller} with {key}')
def forward_request(context, version, caller, key):
    request = Request('GET', '/plain/', (('host', 'h'),))
    authenticated = Caller(caller, digest_key(key), version)
    frame = Frame(1, 'peer/1', 0, 0, Forward(request, 1.0, 1, authenticated))
    context.answer = curio.run(context.client_api.handle_forwarded_request, frame).response


@given('a job of {owner} that is {state}')
def store_job(context, owner, state):
    account = '' if owner == 'nobody' else owner
    if state == 'queued':
        submission = Submission('plain', 'desk', 1.0, JobSpec('', (step(),)), '', account)
        record = make_record(SUBMISSION_PREFIX + JOB, submission)
    else:
        record = make_record(PROGRESS_PREFIX + JOB, Progress(1, JobState(state), account=account))
    context.cell_projection.apply(RecordBatch((record,), 1, 1))


@when('{caller} asks by {method}')
def request_by_method(context, caller, method):
    body = json.dumps({'spec': 'x', 'steps': [{'count': 1, 'cpu': 10}]}).encode()
    headers = (('authorization', f'Bearer {caller}-key-1'),)
    send_request(context, method, f'/plain/{JOB}', headers, body)


@when('blue submits a step of {count:d} {kind} of {cpu:g} cores, with a quota of 8 cores')
def submit_step(context, count, kind, cpu):
    step_fields = {'count': count, 'cpu': int(cpu * 1000), 'gang': kind == 'gang members'}
    body = json.dumps({'spec': 'x', 'steps': [step_fields]}).encode()
    send_request(context, 'POST', f'/plain/{JOB}', (('authorization', 'Bearer blue-key-1'),), body)


@when('a configuration has the accounts {rows}')
def decode_accounts(context, rows):
    codec = JsonRecordCodec()
    try:
        context.accounts = codec.decode_configuration(make_document(1, json.loads(rows))).accounts
    except UnreadableError as error:
        raise AssertionError('the whole configuration was refused') from error


@then('{usable} are in force, with {problems:d} problems, and no problem names a key')
def check_accounts(context, usable, problems):
    expected_key_by_name = (
        {} if usable == 'none' else dict(part.split(':') for part in usable.split())
    )
    accounts = context.accounts
    assert set(accounts.account_by_name) == set(expected_key_by_name), accounts.account_by_name
    for name, key in expected_key_by_name.items():
        account = accounts.find_by_key(digest_key(key)) if key else accounts.account_by_name[name]
        assert account is not None and account.name == name, (name, key)
    assert len(accounts.problems) == problems, accounts.problems
    assert not [key for key in ('k1', 'k2') if key in ' '.join(accounts.problems)], (
        accounts.problems
    )


@given('a configuration of 100 accounts with 100 keys each')
def decode_many_keys(context):
    context.codec = JsonRecordCodec()
    context.rows = [
        {'name': f'a{number}', 'api_keys': [f'key-{number}-{key}' for key in range(100)]}
        for number in range(100)
    ]
    context.codec.decode_configuration(make_document(1, context.rows))


@when('a version arrives in which one account has another key')
def change_one_key(context):
    context.digested = []
    original = _accounts.digest_key

    def digest_and_record(key):
        context.digested.append(key)
        return original(key)

    context.rows[7]['api_keys'][3] = 'another-key'
    _accounts.digest_key = digest_and_record
    try:
        document = make_document(2, context.rows)
        context.accounts = context.codec.decode_configuration(document).accounts
    finally:
        _accounts.digest_key = original


@then('{count:d} keys were digested, and every key finds its account')
def check_digested_keys(context, count):
    assert len(context.digested) == count, len(context.digested)
    for row in context.rows:
        for key in row['api_keys']:
            assert context.accounts.find_by_key(digest_key(key)).name == row['name'], key
    assert context.accounts.find_by_key(digest_key('key-7-3')) is None


@given(
    'a host whose last answer of the store is {age:g} s old, and peers with a newer configuration'
)
def host_with_old_configuration(context, age):
    context.journal = Journal(LogCapture(), 'me')
    projection = make_projection(context, make_configuration((make_plain_queue('plain'),), ()))
    peer_reply = ConfigurationGiven(6, make_document(6, []), True)
    context.exchange = make_exchange(context, projection, peer_reply, age)
    context.projection = projection


@given('a host that knows no peer, with a seed that has a newer configuration')
def host_with_seed(context):
    host_with_old_configuration(context, 1.0)
    context.cell_state.clear()
    context.exchange._seeds = (Member('', '127.0.0.1', 1),)


@when('it checks whether its configuration is outdated')
def check_configuration(context):
    curio.run(curio.ignore_after, 0.05, context.exchange.run)


@when('it reads that the owner has the newer configuration')
def read_newer_owner(context):
    context.cell_state.apply([make_record(OWNER_KEY, Owner(1, 'peer', 'peer/1', version=6))])
    check_configuration(context)


@then('it has the {which} configuration')
def check_version(context, which):
    assert context.projection.version == (6 if which == 'newer' else 5), context.projection.version
