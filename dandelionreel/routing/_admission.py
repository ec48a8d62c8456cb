"""Whether a request may come in: its customer's contract and this daemon's part of it."""

from dandelionreel.contracts import Contract, ContractProjection, require_contract
from dandelionreel.kernel import Clock, Settings, not_run
from dandelionreel.ownership import Membership, member_keys
from dandelionreel.routing._budget import CustomerUse, part_of_count, part_of_rate
from dandelionreel.routing._call import ServiceCall

CONCURRENCY_RETRY = 1.0
HTTP_FORBIDDEN = 403
HTTP_TOO_MANY = 429


class Admission:
    """Requests of each customer that this daemon has let in."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        me: str,
        book: ContractProjection,
        membership: Membership,
    ) -> None:
        """Admit as the member ``me``; its part depends on the zone's members."""
        self._zone = settings.availability_zone
        self._clock = clock
        self._me = me
        self._book = book
        self._membership = membership
        self._use_by_customer: dict[str, CustomerUse] = {}

    def enter(self, call: ServiceCall) -> CustomerUse:
        """Return the customer's use, to be counted; raises ``RequestError``."""
        contract = require_contract(self._book, call.customer, call.task_class)
        if call.service not in contract.services:
            raise not_run(
                HTTP_FORBIDDEN,
                'service-not-in-contract',
                f'the contract of {call.customer} does not name service {call.service!r}',
            )
        use = self._use(call.customer)
        self._check_limits(use, contract)
        use.retries.earn(contract.requests.retry_budget)
        return use

    def spend_retry(self, call: ServiceCall) -> bool:
        """Return whether one more retry is within the customer's budget."""
        return self._use(call.customer).retries.spend()

    def _use(self, customer: str) -> CustomerUse:
        return self._use_by_customer.setdefault(customer, CustomerUse(self._clock))

    def _check_limits(self, use: CustomerUse, contract: Contract) -> None:
        terms = contract.requests
        share = self._book.share(contract.customer, self._zone)
        keys = member_keys(self._membership.live(self._zone))
        rank = keys.index(self._me) if self._me in keys else len(keys)
        members = max(1, len(keys))
        allowed = part_of_count(terms.concurrency, share, rank, members)
        if use.in_flight >= allowed:
            raise not_run(
                HTTP_TOO_MANY,
                'concurrency-limit',
                f'{use.in_flight} requests of {contract.customer} are under way here; '
                f'its contract allows this host {allowed}',
                CONCURRENCY_RETRY,
            )
        rate, burst = part_of_rate(terms, share, members)
        wait = use.bucket.take(rate, burst)
        if wait:
            raise not_run(
                HTTP_TOO_MANY,
                'rate-limit',
                f'{contract.customer} is above its rate of {terms.rate} a second',
                wait,
            )
