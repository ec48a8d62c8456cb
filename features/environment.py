"""Hooks of behave: a cleanup stack for each scenario, and a cell for scenarios to share."""

from contextlib import ExitStack

from features.cells import SharedCell


def before_all(context):
    """Provide a small cell for all scenarios that cause no failures in it."""
    context.shared_cell = SharedCell()


def before_scenario(context, scenario):
    """Provide an exit stack for the resources that the scenario opens."""
    context.stack = ExitStack()


def after_step(context, step):
    """Print why a step failed, since the progress format does not."""
    if step.status.name in {'failed', 'error'}:
        print(f'\n{step.keyword} {step.name}\n{step.error_message}')


def after_scenario(context, scenario):
    """Close the resources of the scenario, and print the logs if it failed."""
    cell = getattr(context, 'cell', None)
    if scenario.status == 'failed' and cell is not None:
        for name in cell.daemons:
            print(f'--- {name}\n{cell.log_of(name)[-6000:]}')
    context.stack.close()


def after_all(context):
    """Stop the shared cell."""
    context.shared_cell.close()
