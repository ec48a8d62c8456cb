"""Fits a daemon's idle cost against the size of its cell, and extrapolates: ``make capacity``.

Runs real daemons at several sizes, fits a linear model to each cost by least squares, prints
the coefficients and the predicted cost at the target size, and draws docs/capacity.png.
"""

import sys
from pathlib import Path
from typing import Any

import numpy as np
from matplotlib.figure import Figure

from bench.cell import SIZES, measure_idle, print_figures

COSTS = ('cpu_percent', 'memory_mb', 'control_bytes')
#: What the cost of a daemon grows with: daemons in its own and in other zones, workers that it
#: owns and in its zone, and running tasks on its own workers.
SIZE_FIELDS = ('near', 'far', 'owned_workers', 'zone_workers', 'owned_tasks')
#: The required limit of each idle cost of one daemon, and the target size of the cell.
LIMIT_BY_COST = {'cpu_percent': 1.4, 'memory_mb': 32.0, 'control_bytes': 6000.0}
ZONES = 7
WORKERS = 1300
TASKS = 9600
PLOT_PATH = Path(__file__).parent.parent / 'docs' / 'capacity.png'


def target_size(entry_hosts: int) -> dict[str, float]:
    """Return the size as one daemon sees it, at the target with ``entry_hosts`` daemons."""
    hosts_per_zone = entry_hosts / ZONES
    return {
        'near': hosts_per_zone - 1,
        'far': entry_hosts - hosts_per_zone,
        'owned_workers': WORKERS / entry_hosts,
        'zone_workers': WORKERS / ZONES,
        'owned_tasks': TASKS / entry_hosts,
    }


def fit(rows: list[dict[str, Any]], cost: str) -> dict[str, float]:
    """Return the constant term and the slope per size field; no slope is negative."""
    fields = list(SIZE_FIELDS)
    while True:
        matrix = np.array([[1.0, *(row[field] for field in fields)] for row in rows])
        values = np.array([row[cost] for row in rows])
        solution, *_ = np.linalg.lstsq(matrix, values, rcond=None)
        slopes = dict(zip(['base', *fields], map(float, solution), strict=True))
        lowest = min(fields, key=lambda field: slopes[field], default='')
        # A larger cell never costs less: a negative slope is noise, so drop the field.
        if not lowest or slopes[lowest] >= 0:
            return slopes
        fields.remove(lowest)


def predict(slopes: dict[str, float], size: dict[str, float]) -> float:
    """Return the predicted cost at a size."""
    return slopes['base'] + sum(slopes.get(field, 0) * size[field] for field in SIZE_FIELDS)


def draw_plot(rows: list[dict[str, Any]], slopes_by_cost: dict[str, dict[str, float]]) -> None:
    """Plot measured against predicted cost, with the required limit."""
    figure = Figure(figsize=(12, 4))
    axes = figure.subplots(1, len(COSTS))
    for axis, cost in zip(axes, COSTS, strict=True):
        slopes = slopes_by_cost[cost]
        fitted = [predict(slopes, row) for row in rows]
        axis.scatter(fitted, [row[cost] for row in rows], label='measured size')
        hosts = range(14, 71, 7)
        axis.plot(
            [predict(slopes, target_size(count)) for count in hosts],
            [predict(slopes, target_size(count)) for count in hosts],
            marker='x',
            label='target, 14 to 70 entry hosts',
        )
        axis.axhline(LIMIT_BY_COST[cost], color='red', label='required limit')
        axis.set_xlabel('fitted')
        axis.set_ylabel(cost)
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(PLOT_PATH, dpi=80)


def main() -> int:
    """Measure all sizes, fit each cost, print and plot the results."""
    rows = [measure_idle(*size) for size in SIZES]
    slopes_by_cost = {cost: fit(rows, cost) for cost in COSTS}
    for cost, slopes in slopes_by_cost.items():
        residual = max(abs(predict(slopes, row) - row[cost]) for row in rows)
        print_figures(f'slopes of {cost}', **slopes, largest_residual=residual)
        for hosts in (14, 28, 35, 56, 70):
            print_figures(
                f'  at the target with {hosts} entry hosts',
                cost=predict(slopes, target_size(hosts)),
            )
    draw_plot(rows, slopes_by_cost)
    return 0


if __name__ == '__main__':
    sys.exit(main())
