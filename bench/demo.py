"""Demo of a whole cell on loopback: ``make demo``."""

import json
import sys
import time

from features.cells import contract, job
from standins import Cluster, Layout, wait_until

HEADERS = {
    'dandelionreel-customer': 'khangai',
    'dandelionreel-class': 'urgent',
    'dandelionreel-idempotent': 'true',
}


def print_line(text: str) -> None:
    """Print one line at once."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def main() -> int:
    """Publish a contract, send urgent requests and run a job; return the exit status."""
    print_line('starting a log service, a host list, 4 workers, 4 runners and 4 daemons in 2 zones')
    with Cluster(Layout(daemons=2)) as cell:
        return run_demo(cell)


def run_demo(cell: Cluster) -> int:
    """Run the demo on a running cell; return the exit status."""
    names = list(cell.daemons)
    began = time.monotonic()
    reply = cell.publish(contract())
    print_line(f'contract published: {reply.status} {reply.body.decode()}')
    in_force = wait_until(
        lambda: all(
            cell.request_as_operator(name, 'GET', '/v1/status').json()['contracts'].get('khangai')
            == 1
            for name in names
        ),
    )
    print_line(
        f'in force on all {len(names)} daemons: {in_force}, {time.monotonic() - began:.3f} s'
    )
    for name in names:
        response = cell.request_as_caller(
            name, 'POST', '/v1/services/booking/echo', b'pass 4711', HEADERS
        )
        verdict = response.headers.get('dandelionreel-verdict')
        print_line(
            f'entry check by {name}: {response.status}, verdict {verdict}, {response.body!r}'
        )
    submitted = cell.submit(names[0], job('run 1'), 'settlement-1').json()
    print_line(f'settlement accepted: {submitted["id"]} {submitted["state"]}')
    has_ended = wait_until(
        lambda: (
            cell.request_as_operator(names[0], 'GET', f'/v1/jobs/{submitted["id"]}').json()['state']
            == 'succeeded'
        ),
    )
    runs = cell.runs(submitted['id'])
    print_line(f"settlement ended: {has_ended}; runs by the workers' own record: {len(runs)}")
    for name in names:
        for line in cell.log_of(name).splitlines():
            text = json.loads(line).get('text', '')
            if text.startswith(('placement', 'jobs: attempt', 'routing: sends')):
                print_line(f'  {name} | {text}')
    return 0 if in_force and has_ended and len(runs) == 1 else 1


if __name__ == '__main__':
    sys.exit(main())
