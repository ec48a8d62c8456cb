"""Refusal of one job, with a late append of an earlier attempt, an owner and its successors.

A host without a way to the owner sends an append for the client and gets no answer. The store
carries the append out at any later time, or never. The client tries again at the owner, which
accepts the job or refuses it. Owners are killed at any time and replaced. The client submits a
refused job again, also through a host that appends by itself. A job must not run after its
refusal unless it was accepted later, and an accepted job must not be lost.
"""

from spec._model import Spec, Steps

MAX_OWNERS = 3

#: ``submission`` is what a host knows that has read the whole store: ``none``, ``early`` (of an
#: attempt before any refusal) or ``later`` (of one after a refusal). ``read`` is what the owner has
#: read of it. ``refusal`` is ``no``, ``noted`` by the current owner, or ``sent`` to the client.
INITIAL = {
    'owner': 1,
    'owner_alive': True,
    'append': 'in flight',  # the append of the earlier attempt
    'submission': 'none',
    'read': 'none',
    'refusal': 'no',
    'refusal_stored': False,
    'owner_knows_refusal': False,
    'client': 'unanswered',  # its latest answer: unanswered, refused or accepted
    'runs': False,
    'wrongly_run': False,
    'accepted_is_ignored': False,
}


def add_steps(
    steps: Steps,
    *,
    reads_first: bool = True,
    stores_before_answer: bool = True,
    ignores_refused: bool = True,
    successor_reads_refusals: bool = True,
    acceptance_outranks_refusal: bool = True,
    keeps_accepted: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    state = steps.state
    _carry_out_append(steps, keeps_accepted)
    if state['refusal'] == 'sent' and state['client'] != 'accepted':
        steps.step(
            'the client is refused',
            refusal='no',
            client='refused',
            wrongly_run=state['wrongly_run'] or state['runs'],
        )
    if state['client'] != 'accepted' and state['submission'] == 'none':
        _accept(steps, 'another host accepts the job', state['read'])
    if state['owner_alive'] and state['owner'] < MAX_OWNERS:
        steps.step('the owner is killed', owner_alive=False)
    if not state['owner_alive']:
        _take_over(steps, successor_reads_refusals)
        return
    if state['read'] != state['submission']:
        steps.step('the owner reads the store', read=state['submission'])
    is_hidden = state['owner_knows_refusal'] and (
        state['read'] == 'early' or not acceptance_outranks_refusal
    )
    _start_or_delete(steps, is_hidden and ignores_refused, keeps_accepted)
    if state['client'] != 'accepted' and (is_hidden or state['read'] == 'none'):
        _accept(steps, 'the owner accepts the job', _accepted_as(state))
    _refuse(steps, reads_first, stores_before_answer)


def _accepted_as(state: dict) -> str:
    """Return whether a submission that is accepted now is later than a refusal."""
    return 'later' if state['owner_knows_refusal'] or state['refusal_stored'] else 'early'


def _accept(steps: Steps, label: str, read: str) -> None:
    steps.step(label, client='accepted', submission=_accepted_as(steps.state), read=read)


def _carry_out_append(steps: Steps, keeps_accepted: bool) -> None:
    """The store carries out the append of the earlier attempt, or loses it."""
    state = steps.state
    if state['append'] != 'in flight':
        return
    kept = 'later' if state['submission'] == 'later' and keeps_accepted else 'early'
    steps.step('the late append is carried out', append='done', submission=kept)
    steps.step('the late append is lost', append='done')


def _take_over(steps: Steps, successor_reads_refusals: bool) -> None:
    """A successor reads the whole store before it acts; what is not stored is unknown to it."""
    state = steps.state
    steps.step(
        'another host takes over',
        owner=state['owner'] + 1,
        owner_alive=True,
        read=state['submission'],
        refusal='sent' if state['refusal'] == 'sent' else 'no',
        owner_knows_refusal=state['refusal_stored'] and successor_reads_refusals,
    )


def _start_or_delete(steps: Steps, is_hidden: bool, keeps_accepted: bool) -> None:
    state = steps.state
    if state['read'] == 'none' or state['runs']:
        return
    if is_hidden:
        kept = 'later' if state['submission'] == 'later' and keeps_accepted else 'none'
        steps.step(
            'the owner deletes the submission',
            submission=kept,
            read='none',
            accepted_is_ignored=state['accepted_is_ignored'] or state['read'] == 'later',
        )
        return
    steps.step(
        'the owner starts the job',
        runs=True,
        wrongly_run=state['wrongly_run'] or state['client'] == 'refused',
    )


def _refuse(steps: Steps, reads_first: bool, stores_before_answer: bool) -> None:
    """The owner notes a refusal, stores it with a heartbeat, and only then answers.

    A client that has not read its answer may submit an accepted job again.
    """
    state = steps.state
    is_current = state['read'] == state['submission'] or not reads_first
    if state['refusal'] == 'no' and state['read'] == 'none' and is_current:
        steps.step('the owner notes a refusal', refusal='noted', owner_knows_refusal=True)
    if state['refusal'] != 'noted':
        return
    if not state['refusal_stored']:
        steps.step('the refusal is stored', refusal_stored=True)
    if state['refusal_stored'] or not stores_before_answer:
        steps.step('the owner answers with a refusal', refusal='sent')


def refused_is_not_run(state: dict) -> bool:
    """No job runs whose client was refused last."""
    return not state['wrongly_run']


def accepted_is_kept(state: dict) -> bool:
    """An accepted job stays stored until it runs, and the owner does not ignore it."""
    is_stored = state['client'] != 'accepted' or state['runs'] or state['submission'] != 'none'
    return is_stored and not state['accepted_is_ignored']


ADMISSION = Spec(
    'admission',
    INITIAL,
    add_steps,
    {'refused is not run': refused_is_not_run, 'accepted is kept': accepted_is_kept},
    {
        'the owner refuses a job before it has read the store': {'reads_first': False},
        'a refusal is answered before it is stored': {'stores_before_answer': False},
        'a submission is started although it was refused': {'ignores_refused': False},
        'a successor does not read which jobs were refused': {'successor_reads_refusals': False},
        'a job counts as refused although it was accepted since': {
            'acceptance_outranks_refusal': False
        },
        'a late append or a deletion replaces an accepted job': {'keeps_accepted': False},
    },
)
