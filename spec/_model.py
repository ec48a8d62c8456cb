"""Shared by all models: transitions from a state, and the check of a model with its mutants."""

import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from minicheck import Protocol, check_safety

State = dict[str, Any]
MAX_STATES = 1_500_000


class Steps:
    """Collects the transitions from one state; ``state`` holds its fields by name."""

    def __init__(self, fields: tuple[str, ...], values: tuple) -> None:
        """Start from a state, given as the values of ``fields``."""
        self.state = dict(zip(fields, values, strict=True))
        self._fields = fields
        self.successors: list[tuple[str, tuple]] = []

    def step(self, label: str, **changes: Any) -> None:
        """Add a transition that sets the given fields and leaves the others as they are."""
        after = {**self.state, **changes}
        self.successors.append((label, tuple(after[field] for field in self._fields)))


@dataclass(frozen=True)
class Spec:
    """A model with its invariants, and mutants that must each break one of them.

    ``add_steps`` adds all transitions from a state. Its keyword arguments are the guards of the
    protocol; a mutant maps some of them to the value that weakens them.
    """

    name: str
    initial: State
    add_steps: Callable[..., None]
    invariants: dict[str, Callable[[State], bool]]
    mutants: dict[str, dict[str, Any]]

    def build(self, **weakened: Any) -> Protocol:
        """Return the protocol for minicheck, with the given guards weakened."""
        fields = tuple(self.initial)

        def transitions(values: tuple) -> list:
            steps = Steps(fields, values)
            self.add_steps(steps, **weakened)
            return steps.successors

        return Protocol(
            name=self.name,
            candidate=False,
            fields=fields,
            initial=tuple(self.initial.values()),
            transitions=transitions,
            invariants=self.invariants,
        )


def find_violations(outcome: dict[str, Any]) -> list[str]:
    """Return the invariants that do not hold or were not checked in full."""
    return [name for name, found in outcome['properties'].items() if found['holds'] is not True]


def get_counterexample(outcome: dict[str, Any]) -> list[str]:
    """Return the labels of the first counterexample."""
    for found in outcome['properties'].values():
        if found['holds'] is False:
            return [entry['label'] for entry in found['counterexample'] if entry['label']]
    return []


def check(spec: Spec, *, show_traces: bool = False, **bounds: Any) -> list[str]:
    """Check a model and its mutants; return the violations and the mutants that survived."""
    problems = []
    began = time.monotonic()
    outcome = check_safety(spec.build(**bounds), max_states=MAX_STATES)
    holds = not find_violations(outcome)
    states = outcome.get('reachable_states')
    took = time.monotonic() - began
    sys.stdout.write(f'{spec.name}: holds={holds}, {states} states, {took:.1f} s\n')
    if not holds:
        problems.append(f'{spec.name} does not hold: {get_counterexample(outcome)}')
    for name, weakened in spec.mutants.items():
        outcome = check_safety(spec.build(**{**bounds, **weakened}), max_states=MAX_STATES)
        steps = get_counterexample(outcome)
        killed = bool(steps)
        sys.stdout.write(f'  mutant {name}: killed={killed}, {len(steps)} steps\n')
        if show_traces:
            sys.stdout.write(''.join(f'      {label}\n' for label in steps))
        if not killed:
            problems.append(f'{spec.name}: mutant {name} was not killed')
    sys.stdout.flush()
    return problems
