"""What a daemon adds to a request: ``make bench-requests``.

The same runner is called directly and through a daemon, in turns, in one run.
"""

import http.client
import json
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from bench.placement import percentile
from features.cells import contract
from standins import Cluster, Layout

REQUESTS = 1500
LOADS = (1, 4, 8, 16)
TIMINGS: dict[str, float] = {}


def tell(text: str) -> None:
    """Write one line."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def timed(address: str, port: int, path: str, headers: dict[str, str], count: int) -> list[float]:
    """Return the seconds of each of ``count`` requests on one connection."""
    connection = http.client.HTTPConnection(address, port, timeout=20)
    times = []
    for _ in range(count):
        began = time.perf_counter()
        connection.request('POST', path, b'x' * 200, headers)
        answer = connection.getresponse()
        answer.read()
        if answer.status == 200:
            times.append(time.perf_counter() - began)
    connection.close()
    return times


def measure(cell: Cluster) -> list[dict[str, float]]:
    """Return medians and tails at rising load."""
    daemon = cell.daemons['ub-east-d0']
    runner = next(one for one in cell.hosts if one.kind == 'endpoint')
    headers = {'dandelionreel-customer': 'khangai', 'dandelionreel-idempotent': 'true'}
    rows = []
    for load in LOADS:
        each = REQUESTS // load
        with ThreadPoolExecutor(load) as pool:
            direct = run(pool, load, runner.address, runner.port, '/echo', headers, each)
            through = run(
                pool,
                load,
                daemon.address,
                daemon.caller_port,
                '/v1/services/booking/echo',
                headers,
                each,
            )
        rows.append(
            {
                'callers': load,
                'direct_median_ms': percentile(direct, 0.5) * 1000,
                'direct_p99_ms': percentile(direct, 0.99) * 1000,
                'through_median_ms': percentile(through, 0.5) * 1000,
                'through_p99_ms': percentile(through, 0.99) * 1000,
                'answered': len(through),
            },
        )
    return rows


def run(pool, load: int, address: str, port: int, path: str, headers, each: int) -> list[float]:
    """Return all times of ``load`` callers at once."""
    futures = [pool.submit(timed, address, port, path, headers, each) for _ in range(load)]
    return [seconds for future in futures for seconds in future.result()]


def main() -> int:
    """Print figures with the log written and with it thinned out."""
    for name, logs in (('every line', {}), ('one line in 100', {'sample_every': 100})):
        layout = Layout(('ub-east',), 1, 1, 2, logs=logs, timings=TIMINGS)
        with Cluster(layout) as cell:
            cell.publish(contract())
            time.sleep(2)
            for row in measure(cell):
                added = row['through_median_ms'] - row['direct_median_ms']
                tail = row['through_p99_ms'] - row['direct_p99_ms']
                tell(f'log {name}: {json.dumps(row)}')
                tell(f'  adds {added:.2f} ms at the median, {tail:.2f} ms at p99')
    return 0


if __name__ == '__main__':
    sys.exit(main())
