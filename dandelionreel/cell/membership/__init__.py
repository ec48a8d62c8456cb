"""Cell membership: owner election, partition detection and exchanges between peers."""

from dandelionreel.cell.membership._advice_figures import AdviceFigures, AdviceTrace
from dandelionreel.cell.membership._advisors import AdvicePool, LocalAdvisor, PeerLinks
from dandelionreel.cell.membership._claim_order import (
    find_larger_hosts,
    find_zone_writer,
    is_successor,
    rank_hosts,
)
from dandelionreel.cell.membership._configuration_download import DocumentServer
from dandelionreel.cell.membership._configuration_exchange import ConfigurationExchange
from dandelionreel.cell.membership._election import (
    AUTHORITY_SECONDS,
    HEARTBEAT_SECONDS,
    OWNER_QUERY_TIMEOUT,
    Election,
    Term,
    make_incarnation_id,
)
from dandelionreel.cell.membership._member_record import MemberRecord
from dandelionreel.cell.membership._owner_watch import OwnerWatch
from dandelionreel.cell.membership._partition_detector import PartitionDetector

__all__ = (
    'OWNER_QUERY_TIMEOUT',
    'AUTHORITY_SECONDS',
    'AdviceFigures',
    'AdvicePool',
    'AdviceTrace',
    'HEARTBEAT_SECONDS',
    'ConfigurationExchange',
    'DocumentServer',
    'PartitionDetector',
    'Election',
    'LocalAdvisor',
    'MemberRecord',
    'OwnerWatch',
    'PeerLinks',
    'Term',
    'find_zone_writer',
    'is_successor',
    'find_larger_hosts',
    'make_incarnation_id',
    'rank_hosts',
)
