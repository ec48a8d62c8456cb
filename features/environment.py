"""What every scenario gets: a clean-up stack, and one cell for each feature that asks."""

from contextlib import ExitStack

from features.cells import SharedCell


def before_all(context):
    """Keep one small cell for all scenarios that do not break it."""
    context.shared_cell = SharedCell()


def before_scenario(context, scenario):
    """Give the scenario a stack that closes what it opens."""
    context.stack = ExitStack()


def after_step(context, step):
    """Tell why a step failed; the progress format does not."""
    if step.status.name in {'failed', 'error'}:
        print(f'\n{step.keyword} {step.name}\n{step.error_message}')


def after_scenario(context, scenario):
    """Close what the scenario opened; show the logs of a failed one."""
    cell = getattr(context, 'cell', None)
    if scenario.status == 'failed' and cell is not None:
        for name in cell.daemons:
            print(f'--- {name}\n{cell.log_of(name)[-6000:]}')
    context.stack.close()


def after_all(context):
    """End the shared cell."""
    context.shared_cell.close()
