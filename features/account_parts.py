"""Client accounts for scenarios without a process."""

from dandelionreel.accounts import Account, AccountDirectory, digest_key
from dandelionreel.cell.model import Configuration, Demand, Queue, Service

UNLIMITED = 2**50


def make_account(name, weight=1.0, cores=None, keys=()):
    """Return an account with a quota of ``cores``."""
    quota = None if cores is None else Demand(int(cores * 1000), UNLIMITED, UNLIMITED)
    return Account(name, weight, quota, frozenset(digest_key(key) for key in keys))


def make_configuration(queues, accounts, version=5):
    """Return a configuration of the service ``desk``; without accounts for ``None``."""
    directory = None if accounts is None else AccountDirectory(accounts)
    return Configuration(version, tuple(queues), (Service('desk', False, False),), 9999, directory)


def make_plain_queue(name, public=False):
    """Return an urgent queue without advice."""
    return Queue(name, 'h', f'/{name}/', 'desk', 0, 2, 1.5, 0.25, 3.0, None, public)
