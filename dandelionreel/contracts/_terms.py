"""The first question to every contract: may this customer do this at all."""

from dandelionreel.contracts._contract_projection import ContractProjection
from dandelionreel.contracts._document import Contract
from dandelionreel.kernel import not_run

HTTP_FORBIDDEN = 403


def require_contract(book: ContractProjection, customer: str, task_class: str) -> Contract:
    """Return the contract to enforce; raises ``RequestError`` with verdict not run."""
    contract = book.effective(customer)
    if contract is None:
        raise not_run(
            HTTP_FORBIDDEN,
            'unknown-customer',
            f'no contract for customer {customer!r} is in force',
        )
    if contract.terms(task_class) is None:
        raise not_run(
            HTTP_FORBIDDEN,
            'class-not-in-contract',
            f'the contract of {customer} does not name class {task_class!r}',
        )
    return contract
