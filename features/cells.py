"""Cells that scenarios run on, and the contract that most of them use."""

from contextlib import ExitStack
from typing import Any

from standins import Cluster, Layout


def contract(version: int = 1, customer: str = 'khangai', **changes: Any) -> dict[str, Any]:
    """Return a contract with all classes and high limits."""
    document = {
        'customer': customer,
        'version': version,
        'classes': [
            {'name': 'urgent', 'priority': 100, 'longest_wait': 2.5},
            {'name': 'service', 'priority': 50, 'longest_wait': 60},
            {'name': 'batch', 'priority': 10, 'longest_wait': 3600, 'preemptible': True},
        ],
        'quota': {'processors': 400, 'memory_mb': 800_000, 'accelerators': 16},
        'services': ['booking'],
        'requests': {'rate': 5000, 'burst': 5000, 'concurrency': 400},
    }
    document.update(changes)
    return document


def job(command: str = 'run 0.2', **changes: Any) -> dict[str, Any]:
    """Return a small batch job."""
    spec = {
        'customer': 'khangai',
        'command': command,
        'demand': {'processors': 1, 'memory_mb': 512},
    }
    spec.update(changes)
    return spec


class SharedCell:
    """A small cell that many scenarios share; it starts on first use."""

    def __init__(self) -> None:
        """Create no cell yet."""
        self._stack = ExitStack()
        self._cell: Cluster | None = None

    def get_cell(self) -> Cluster:
        """Return the shared cell, after its first start with a published contract."""
        if self._cell is None:
            self._cell = self._stack.enter_context(Cluster(Layout(daemons=2)))
            reply = self._cell.publish(contract())
            if reply.status != 200:
                raise RuntimeError(f'publishing the contract failed: {reply.body!r}')
        return self._cell

    def close(self) -> None:
        """Stop the cell."""
        self._stack.close()
