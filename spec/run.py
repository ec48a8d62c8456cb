"""Checks all models and their mutants: ``make spec``; ``--traces`` prints counterexamples."""

import sys

from spec._model import check
from spec.admission import ADMISSION
from spec.attempts import ATTEMPTS
from spec.cancelling import CANCELLING
from spec.cell import CELL
from spec.completions import COMPLETIONS
from spec.crashes import CHANCE_CRASHES, CRASHES
from spec.escrow import ESCROW
from spec.incarnations import INCARNATIONS
from spec.joining import JOINING
from spec.ownership import OWNERSHIP
from spec.publication import PUBLICATION
from spec.quotas import QUOTAS
from spec.unreached import UNREACHED

SPECS = (
    CELL,
    UNREACHED,
    CANCELLING,
    COMPLETIONS,
    CRASHES,
    CHANCE_CRASHES,
    INCARNATIONS,
    QUOTAS,
    ADMISSION,
    OWNERSHIP,
    JOINING,
    ATTEMPTS,
    PUBLICATION,
    ESCROW,
)


def main() -> int:
    """Return 0 if every model holds and every mutant is killed."""
    problems = []
    for spec in SPECS:
        problems.extend(check(spec, show_traces='--traces' in sys.argv))
    for line in problems:
        sys.stdout.write(f'WRONG {line}\n')
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main())
