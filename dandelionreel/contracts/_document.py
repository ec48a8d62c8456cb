"""A customer's contract: one JSON document that sets all limits of the customer."""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from dandelionreel.backing import Resources
from dandelionreel.kernel import JsonError, decode_json

Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
PositiveNumber = Annotated[float, Meta(gt=0, le=1e9)]
NonNegativeNumber = Annotated[float, Meta(ge=0, le=1e9)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Version = Annotated[int, Meta(ge=1, le=2**53)]
Priority = Annotated[int, Meta(ge=0, le=1000)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]

#: Classes of jobs and requests; jobs of each class have their own placement policy.
TASK_CLASSES = ('urgent', 'service', 'batch')


class Amounts(Struct, frozen=True, forbid_unknown_fields=True):
    """Amounts of processors (cores), memory (megabytes) and accelerators (devices)."""

    processors: NonNegativeNumber = 0
    memory_mb: NonNegativeNumber = 0
    accelerators: NonNegativeNumber = 0

    def resources(self) -> Resources:
        """Return the amounts as ``Resources``, the type used for accounting."""
        return Resources(self.processors, self.memory_mb, self.accelerators)


class ClassTerms(Struct, frozen=True, forbid_unknown_fields=True):
    """Terms for one class of work; ``longest_wait`` is in seconds."""

    name: Name
    priority: Priority
    longest_wait: PositiveNumber
    preemptible: bool = False


class RequestTerms(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on requests to services.

    ``rate`` is per second, ``concurrency`` counts requests at the same time, and
    ``retry_budget`` is the allowed ratio of additional retries to requests.
    """

    rate: PositiveNumber = 100
    burst: PositiveNumber = 100
    concurrency: Count = 64
    retry_budget: Fraction = 0.1


class Contract(Struct, frozen=True, forbid_unknown_fields=True):
    """One version of a customer's contract."""

    customer: Name
    version: Version
    classes: tuple[ClassTerms, ...]
    quota: Amounts
    guaranteed: Amounts = Amounts()
    weight: PositiveNumber = 1
    requests: RequestTerms = RequestTerms()
    services: tuple[Name, ...] = ()
    jobs_waiting: Count = 10_000

    def class_terms(self, name: str) -> ClassTerms | None:
        """Return the terms for a class, ``None`` if the contract doesn't include it."""
        for terms in self.classes:
            if terms.name == name:
                return terms
        return None


class ContractError(ValueError):
    """An invalid contract; the message names the field, its value and what is allowed."""


def load_contract(text: bytes) -> Contract:
    """Decode and validate a contract; raises ``ContractError``."""
    try:
        contract = decode_json(text, Contract)
    except JsonError as error:
        raise ContractError(str(error)) from error
    _check_class_names(contract)
    _check_guarantee_within_quota(contract)
    return contract


def _check_class_names(contract: Contract) -> None:
    seen = set()
    for terms in contract.classes:
        if terms.name not in TASK_CLASSES:
            allowed = ', '.join(TASK_CLASSES)
            raise ContractError(f'classes: {terms.name!r} is unknown; allowed: {allowed}')
        if terms.name in seen:
            raise ContractError(f'classes: {terms.name!r} is given twice; name each class once')
        seen.add(terms.name)
    if not seen:
        raise ContractError('classes: is empty; at least one class is needed')


def _check_guarantee_within_quota(contract: Contract) -> None:
    guaranteed = contract.guaranteed.resources()
    quota = contract.quota.resources()
    if not guaranteed.fits(quota):
        raise ContractError(
            f'guaranteed: {guaranteed} is above quota {quota}; it must be at most that',
        )


def intersect_contracts(old: Contract, new: Contract) -> Contract:
    """Return a contract with the stricter of each limit of ``old`` and ``new``.

    It is enforced from the time the proposal of ``new`` is read until its outcome
    is known.
    """
    return msgspec.structs.replace(
        old,
        classes=_intersect_class_terms(old, new),
        quota=_minimum_amounts(old.quota, new.quota),
        guaranteed=_minimum_amounts(old.guaranteed, new.guaranteed),
        requests=RequestTerms(
            rate=min(old.requests.rate, new.requests.rate),
            burst=min(old.requests.burst, new.requests.burst),
            concurrency=min(old.requests.concurrency, new.requests.concurrency),
            retry_budget=min(old.requests.retry_budget, new.requests.retry_budget),
        ),
        services=tuple(name for name in old.services if name in new.services),
        jobs_waiting=min(old.jobs_waiting, new.jobs_waiting),
    )


def _minimum_amounts(first: Amounts, second: Amounts) -> Amounts:
    return Amounts(
        min(first.processors, second.processors),
        min(first.memory_mb, second.memory_mb),
        min(first.accelerators, second.accelerators),
    )


def _intersect_class_terms(old: Contract, new: Contract) -> tuple[ClassTerms, ...]:
    common_classes = []
    for terms in old.classes:
        other = new.class_terms(terms.name)
        if other is None:
            continue
        common_classes.append(
            ClassTerms(
                terms.name,
                min(terms.priority, other.priority),
                min(terms.longest_wait, other.longest_wait),
                terms.preemptible and other.preemptible,
            ),
        )
    return tuple(common_classes)
