"""Admission control: the limits of a customer's contract, divided among the daemons."""

from dandelionreel.contracts import Contract, ContractProjection, require_contract
from dandelionreel.kernel import Clock, Settings, not_run_error
from dandelionreel.ownership import Membership, member_keys
from dandelionreel.routing._budget import CustomerUsage, daemon_share_of_count, daemon_share_of_rate
from dandelionreel.routing._call import ServiceCall

CONCURRENCY_RETRY_SECONDS = 1.0
HTTP_FORBIDDEN = 403
HTTP_TOO_MANY_REQUESTS = 429


class Admission:
    """Checks requests against contracts, and counts the requests in flight of each customer."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        own_member: str,
        contracts: ContractProjection,
        membership: Membership,
    ) -> None:
        """Admit requests on ``own_member``, whose share depends on the zone's live members."""
        self._zone = settings.availability_zone
        self._clock = clock
        self._own_member = own_member
        self._contracts = contracts
        self._membership = membership
        self._usage_by_customer: dict[str, CustomerUsage] = {}

    def admit_request(self, call: ServiceCall) -> CustomerUsage:
        """Return the usage of the customer, to which the caller adds the admitted request.

        Raises ``RequestError`` if the request is not admitted.
        """
        contract = require_contract(self._contracts, call.customer, call.task_class)
        if call.service not in contract.services:
            raise not_run_error(
                HTTP_FORBIDDEN,
                'service-not-in-contract',
                f'the contract of {call.customer} does not name service {call.service!r}',
            )
        usage = self._get_customer_usage(call.customer)
        self._check_request_limits(usage, contract)
        usage.retry_budget.record_first_attempt(contract.requests.retry_budget)
        return usage

    def use_retry(self, call: ServiceCall) -> bool:
        """Count a retry if the customer's budget allows it; return whether it does."""
        return self._get_customer_usage(call.customer).retry_budget.use_retry()

    def _get_customer_usage(self, customer: str) -> CustomerUsage:
        return self._usage_by_customer.setdefault(customer, CustomerUsage(self._clock))

    def _check_request_limits(self, usage: CustomerUsage, contract: Contract) -> None:
        terms = contract.requests
        share = self._contracts.zone_share(contract.customer, self._zone)
        keys = member_keys(self._membership.live_members(self._zone))
        rank = keys.index(self._own_member) if self._own_member in keys else len(keys)
        members = max(1, len(keys))
        allowed = daemon_share_of_count(terms.concurrency, share, rank, members)
        if usage.in_flight >= allowed:
            raise not_run_error(
                HTTP_TOO_MANY_REQUESTS,
                'concurrency-limit',
                f'{usage.in_flight} requests of {contract.customer} are under way here; '
                f'its contract allows this host {allowed}',
                CONCURRENCY_RETRY_SECONDS,
            )
        rate, burst = daemon_share_of_rate(terms, share, members)
        wait = usage.token_bucket.take_token(rate, burst)
        if wait:
            raise not_run_error(
                HTTP_TOO_MANY_REQUESTS,
                'rate-limit',
                f'{contract.customer} is above its rate of {terms.rate} a second',
                wait,
            )
