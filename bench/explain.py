"""Benchmark of the tool's ``explain`` command on generated logs: ``make bench-explain``.

Three logs of 100 MB: lines of a large busy site, lines of one job only, and one endless line.
Each log is read by the tool in a process of its own, to measure its peak memory.
"""

import json
import random
import resource
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from tempfile import TemporaryDirectory

LOG_BYTES = 100_000_000
SEED = 7
HOSTS = [f'entry-{zone}-{number}' for zone in 'abcd' for number in range(1, 10)]
JOB = '8b344bac49d1ac6d'
#: Every so many lines, one is truncated at a random place.
CUT_EVERY = 997
MB = 1_000_000


def make_fields(number: int, job: str, runner: str) -> dict[str, object]:
    """Return the fields of a log line; over ten lines, the kinds occur as often as in real logs."""
    run = {'job': job, 'task': f'0.1.{number % 50}', 'run': 3001, 'epoch': 3, 'runner': runner}
    kinds = (
        ('jobs: POST {job}: 200 by a peer.', {'job': job, 'book_age': 0.2, 'epoch': 3}),
        ('placement: starts a task on {runner}.', {**run, 'version': 16, 'store_age': 0.01}),
        ('workers: a run has ended done.', {**run, 'number': number, 'seconds': 1.1}),
        ('workers: {runner} is ready.', {'runner': runner, 'service': 'desk'}),
        ('workers: {runner} does not answer: no answer in time.', {'runner': runner, 'tasks': 3}),
        ('ownership: {runner} is silent in the store; it says that it acts.', {'epoch': number}),
    )
    text, fields = kinds[(0, 0, 0, 1, 1, 2, 2, 3, 4, 5)[number % 10]]
    return {'text': text.format(job=job, runner=runner), **fields}


def generate_lines(one_job: bool) -> Iterator[bytes]:
    """Yield log lines of 36 hosts and 3,000 jobs, or of one job; some are truncated."""
    rng = random.Random(SEED)
    jobs = [JOB] if one_job else [JOB, *(f'{rng.getrandbits(64):016x}' for _ in range(2999))]
    number = 0
    while True:
        number += 1
        runner = f'i-{rng.getrandbits(40):010x}' if number % 5 else 'i-1'
        fields = make_fields(number, rng.choice(jobs), runner)
        line = json.dumps(
            {
                'host': rng.choice(HOSTS),
                **fields,
                'timestamp': 1.77e9 + number * 0.002,
                'task_uuid': '53314170-5dc5-47d8-9448-b2ea91dd01be',
                'task_level': [1],
                'message_type': fields['text'].partition(':')[0],
            },
            separators=(',', ':'),
        ).encode()
        yield (line if number % CUT_EVERY else line[: rng.randrange(len(line))]) + b'\n'


def generate_endless_line() -> Iterator[bytes]:
    """Yield a line of the job, then chunks of a line that has no end."""
    yield next(generate_lines(one_job=True))
    while True:
        yield b'{"host":"a"' * 1000


def write(path: Path, chunks: Iterator[bytes]) -> None:
    """Write chunks until the file has LOG_BYTES."""
    bytes_left = LOG_BYTES
    with path.open('wb') as file:
        while bytes_left > 0:
            bytes_left -= file.write(next(chunks))


def measure(name: str, path: Path) -> None:
    """Explain the job from one log, and print the time and memory that it took."""
    began = time.monotonic()
    done = subprocess.run(
        [sys.executable, '-m', 'bench.explain', 'run', JOB, str(path)],
        stdout=subprocess.PIPE,
        text=True,
        check=False,
    )
    seconds = time.monotonic() - began
    output = done.stdout.splitlines()
    peak, _, read = output[-1].partition(' ') if output else ('?', '', '')
    sys.stdout.write(
        f'{name}: {path.stat().st_size / MB:.0f} MB in {seconds:.1f} s, '
        f'{peak} MB of memory, exit {done.returncode}; {read}\n'
    )


def run_explain(arguments: list[str]) -> int:
    """Run the command in this process; print its peak memory and what it has read."""
    from io import StringIO

    from dandelionreel.cli._tool import main as run_tool
    from dandelionreel.kernel import Environment

    out = StringIO()
    status = run_tool(['explain', *arguments], Environment(stdout=out))
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    read = out.getvalue().splitlines()[1:2]
    sys.stdout.write(f'{peak:.0f} {"".join(read)}\n')
    return status


def main() -> int:
    """Measure all three logs."""
    if sys.argv[1:2] == ['run']:
        return run_explain(sys.argv[2:])
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'hosts.log'
        for name, chunks in (
            ('a site at work', generate_lines(one_job=False)),
            ('one job only', generate_lines(one_job=True)),
            ('a line without end', generate_endless_line()),
        ):
            write(path, chunks)
            measure(name, path)
    return 0


if __name__ == '__main__':
    sys.exit(main())
