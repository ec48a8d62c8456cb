"""The hosts of a cell: who owns it, who can reach whom, what peers tell each other."""

from dandelionreel.cell.membership._advisors import AdvicePool, LocalAdvisor, PeerLinks
from dandelionreel.cell.membership._claim_order import (
    SUCCESSORS,
    find_deputy,
    keeps_runners,
    larger_hosts,
    rank_hosts,
)
from dandelionreel.cell.membership._completion_answers import CompletionAnswers
from dandelionreel.cell.membership._completion_reports import CompletionReports
from dandelionreel.cell.membership._completions import Completions
from dandelionreel.cell.membership._configuration_exchange import ConfigurationExchange
from dandelionreel.cell.membership._contact_watch import ContactWatch
from dandelionreel.cell.membership._election import (
    ASK_SECONDS,
    AUTHORITY_SECONDS,
    BEAT_SECONDS,
    Election,
    Term,
    name_incarnation,
)
from dandelionreel.cell.membership._owner_watch import OwnerWatch

__all__ = (
    'ASK_SECONDS',
    'AUTHORITY_SECONDS',
    'BEAT_SECONDS',
    'SUCCESSORS',
    'AdvicePool',
    'CompletionAnswers',
    'CompletionReports',
    'Completions',
    'ConfigurationExchange',
    'ContactWatch',
    'Election',
    'LocalAdvisor',
    'OwnerWatch',
    'PeerLinks',
    'Term',
    'find_deputy',
    'keeps_runners',
    'larger_hosts',
    'name_incarnation',
    'rank_hosts',
)
