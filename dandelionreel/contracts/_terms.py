"""Checks whether a customer has a contract that includes a class of work."""

from dandelionreel.contracts._contract_projection import ContractProjection
from dandelionreel.contracts._document import Contract
from dandelionreel.kernel import not_run_error

HTTP_FORBIDDEN = 403


def require_contract(contracts: ContractProjection, customer: str, task_class: str) -> Contract:
    """Return the customer's contract to enforce.

    Raises ``RequestError`` if there is no contract or it does not include the class.
    """
    contract = contracts.effective_contract(customer)
    if contract is None:
        raise not_run_error(
            HTTP_FORBIDDEN,
            'unknown-customer',
            f'no contract for customer {customer!r} is in force',
        )
    if contract.class_terms(task_class) is None:
        raise not_run_error(
            HTTP_FORBIDDEN,
            'class-not-in-contract',
            f'the contract of {customer} does not name class {task_class!r}',
        )
    return contract
