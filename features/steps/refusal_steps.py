"""Steps on refusals after attempts that may have been carried out."""

import itertools

import curio
import msgspec
from behave import given, then, when

from dandelionreel.cell.clients._client_call import OVERLOAD_CAUSE, unavailable_response
from dandelionreel.cell.clients._relay import Relay
from dandelionreel.cell.clients._write_attempts import AttemptResult, WriteAttempts
from dandelionreel.cell.model import Configuration, JobSpec, Service, Submission
from dandelionreel.cell.model._records import (
    MEMBER_PREFIX,
    OWNER_KEY,
    SUBMISSION_PREFIX,
    Member,
    Owner,
    make_record,
)
from dandelionreel.cell.store import CellProjection, ConfigurationProjection, WriteOutcome
from dandelionreel.http import Request, Response, problem_response
from dandelionreel.kernel import ManualClock, Problem, Verdict
from dandelionreel.peers import Done, ForwardAnswer, Frame, OwnerAsked, PeerError
from features.cell_parts import QUEUES, step
from features.client_parts import make_client_api
from features.store_parts import journal

JOB = '0123456789abcdef'
REFUSED_STATUSES = (400, 401, 403, 404, 409, 413, 429, 503)
RAN = 'ran'


def make_response(status):
    """Return what a host answers; a status of 200 has no verdict."""
    if status == 'overload':
        return unavailable_response(OVERLOAD_CAUSE, 'the job would end too late')
    if int(status) == 200:
        return Response(200)
    verdict = Verdict.UNKNOWN if int(status) in {500, 504} else Verdict.NOT_RUN
    return problem_response(Problem(verdict, int(status), 'cause', 'detail'))


class TwoHosts:
    """Links to the owner (port 1) and to the writer of the zone (port 2)."""

    def __init__(self, owner, writer):
        self._behaviour_by_port = {1: owner, 2: writer}

    async def request(self, member, message, timeout):
        """Answer queries; handle a forwarded request as the scenario says."""
        if isinstance(message, OwnerAsked):
            return Frame(1, 'peer/1', 0, 0, Done())
        behaviour = self._behaviour_by_port[member.port]
        if behaviour == 'refuses connections':
            raise PeerError('connection refused', Verdict.NOT_RUN)
        if behaviour in {'does not answer', 'not at all'}:
            raise PeerError('no answer in time', Verdict.UNKNOWN)
        response = make_response(behaviour.removeprefix('answers '))
        return Frame(1, 'peer/1', 0, 0, ForwardAnswer(response))


class UnusedFollower:
    """A follower that has read everything."""

    has_reached_end = True
    fresh_at = float('inf')

    def age(self, now):
        """Return the age of its latest read."""
        return 0.1


class RefusedWriter:
    """A writer whose appends the store refuses."""

    failing_since = float('inf')

    def store_is_failing(self, now):
        """Return that it is not known yet."""
        return False

    async def write(self, records, timeout):
        """Refuse."""
        return WriteOutcome.REFUSED


@given("a host whose owner {owner}, and whose zone's writer answers {status}")
def host_with_peers(context, owner, status):
    clock = ManualClock(1000)
    jobs = CellProjection(clock, journal())
    submission = Submission('urgent', 'desk', 0.0, JobSpec('x', (step(),)))
    jobs.state.apply(
        [
            make_record(f'{MEMBER_PREFIX}me', Member('north', '127.0.0.1', 3)),
            make_record(f'{MEMBER_PREFIX}a-writer', Member('north', '127.0.0.1', 2)),
            make_record(f'{MEMBER_PREFIX}owner', Member('south', '127.0.0.1', 1)),
            make_record(OWNER_KEY, Owner(1, 'owner', 'owner/1')),
            make_record(SUBMISSION_PREFIX + 'f' * 16, submission),
        ]
    )
    configuration = ConfigurationProjection(None, journal())
    configuration.current = Configuration(1, QUEUES, (Service('desk', False, False),), 9999)
    relay = Relay('me', jobs.state, TwoHosts(owner, status), clock, journal())
    context.client_api = make_client_api(
        configuration, jobs, UnusedFollower(), RefusedWriter(), relay, clock=clock
    )


@when('a client sends it a {call}')
def send_call(context, call):
    body = msgspec.json.encode({'spec': 'x', 'steps': [{'count': 1, 'cpu': 1000}]})
    headers = (('host', 'h'),)
    request = Request('POST', f'/urgent/{JOB}', headers, body)
    if call == 'cancellation':
        request = Request('DELETE', f'/urgent/{"f" * 16}', headers)
    context.answer = curio.run(context.client_api.handle, request)


@then('it is answered {status:d} with the verdict {verdict}')
def check_answer(context, status, verdict):
    assert context.answer.status == status, context.answer
    if verdict != RAN:
        assert msgspec.json.decode(context.answer.body)['verdict'] == verdict, context.answer


@given('every sequence of up to three attempts of the owner, this host and peers')
def every_sequence(context):
    answered = [AttemptResult('a peer', '200', Response(200))]
    for status in REFUSED_STATUSES:
        answered.append(AttemptResult('a peer', f'{status}', make_response(status)))
        answered.append(AttemptResult('a peer', f'{status}', make_response(status), in_doubt=True))
    answered.append(AttemptResult('the owner', 'overload', make_response('overload')))
    unanswered = [
        AttemptResult('the owner', 'refused'),
        AttemptResult('the owner', 'unknown', in_doubt=True),
        AttemptResult('this host', 'unknown', in_doubt=True),
    ]
    context.sequences = [()]
    for length in range(3):
        for earlier in itertools.product(unanswered, repeat=length):
            context.sequences.extend((*earlier, last) for last in answered + unanswered)


@when('the client is answered')
def answer_all(context):
    context.answers = []
    for sequence in context.sequences:
        attempts = WriteAttempts()
        for attempt in sequence:
            assert not attempts.is_decided
            attempts.add(attempt)
        context.answers.append((sequence, attempts.make_answer(1.0)))


@then('it is told that nothing was done only if none of them is in doubt')
def check_not_run(context):
    for sequence, answer in context.answers:
        in_doubt = any(attempt.in_doubt for attempt in sequence)
        says_not_run = answer.status != 200 and b'"not_run"' in answer.body
        assert not (in_doubt and says_not_run), (sequence, answer)
        assert answer.status == 200 or in_doubt or says_not_run, (sequence, answer)
    assert len(context.answers) > 100


@then('it is told of a success only if one was answered so')
def check_success(context):
    for sequence, answer in context.answers:
        succeeded = any(
            attempt.response is not None and attempt.response.status == 200 for attempt in sequence
        )
        assert (answer.status == 200) is succeeded, (sequence, answer)
