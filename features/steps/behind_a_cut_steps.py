"""Steps on runs in an availability zone that is cut off."""

import curio
from behave import given, then, when

from dandelionreel.cell.membership._claim_order import is_successor
from dandelionreel.cell.model._records import Member
from dandelionreel.cell.owner._runner_poller import RunnerPoller
from dandelionreel.cell.owner._zone_confirmation import ZoneConfirmation
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.kernel import ManualClock, Verdict
from dandelionreel.peers import Done, Frame, PeerError
from features.cell_parts import SmallCell, make_registration, step
from features.store_parts import make_owner_context

JOB = '0123456789abcdef'


class OneHostLinks:
    """Links to the hosts of a zone, of which only the first may reply."""

    def __init__(self, replies):
        self._replies = replies
        self.request_count = 0

    async def request(self, member, message, timeout):
        """Reply for the first host, if it does."""
        self.request_count += 1
        if not self._replies or member.port != 0:
            raise PeerError('no answer in time', Verdict.UNKNOWN)
        return Frame(1, 'peer', 0, 0, Done())


@given('an owner whose runner in south has been silent for {silent:g} s')
def silent_runner(context, silent):
    context.clock = ManualClock(1000)
    context.small = SmallCell(runners=())
    context.small.now = 1000
    context.small.registration_by_id['w1'] = make_registration('w1', zone='south')
    context.small.update_runners()
    context.small.poll('w1')
    context.small.add_job(JOB, [step()])
    context.small.plan()
    context.owner = make_owner_context(context.small.cell, context.clock)
    context.state = context.small.cell.runner_by_id['w1']
    context.silent = silent


@when('south, with {count:d} hosts, {hosts}')
def south_replies(context, count, hosts):
    context.zone = OneHostLinks(hosts.startswith('answers'))
    cell_state = CellState()
    for number in range(count):
        cell_state.member_by_host[f's-{number}'] = Member('south', '127.0.0.1', number)
    context.owner.confirm_zone = ZoneConfirmation(
        context.owner, cell_state, context.zone, 'me'
    ).has_answered
    context.clock.advance(context.silent)
    times = 20 if hosts.endswith('times within 0.2 s') else 1

    async def hear():
        for _ in range(times):
            await RunnerPoller(context.owner)._expire_runner_leases(context.state)
            context.clock.advance(0.2 / times)

    curio.run(hear)


@then('the run inside the partition {fate}')
def check_runs(context, fate):
    is_kept = fate == 'is waited for'
    assert bool(context.state.allocation_by_run) is is_kept, context.state.allocation_by_run
    job = context.small.cell.job_by_id[JOB]
    assert bool(job.ready_steps(0)) is not is_kept


@then('{count:d} queries were sent to the zone')
def zone_query_count(context, count):
    assert context.zone.request_count == count, context.zone.request_count


@given('{count:d} hosts in north and {small_count:d} smaller ones in south')
def two_zones(context, count, small_count):
    context.members = {f'n-{n:02}': Member('north', '127.0.0.1', 1) for n in range(1, count + 1)}
    for number in range(1, small_count + 1):
        context.members[f's-{number:02}'] = Member('south', '127.0.0.1', 1, cores=0.5)


@then('host {number:d} of {zone} follows the runner list: {follows}')
def follows_list(context, number, zone, follows):
    found = is_successor(context.members, f'{zone[0]}-{number:02}')
    assert found is (follows == 'yes')
