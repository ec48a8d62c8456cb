"""Latency that a daemon adds to a request: ``make bench-requests``.

Calls the same runner directly and through a daemon, alternately in one run.
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
CALLER_COUNTS = (1, 4, 8, 16)
TIMINGS: dict[str, float] = {}


def print_line(text: str) -> None:
    """Print one line at once."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def time_requests(
    address: str, port: int, path: str, headers: dict[str, str], count: int
) -> list[float]:
    """Return the seconds that each of ``count`` requests on one connection took."""
    connection = http.client.HTTPConnection(address, port, timeout=20)
    times = []
    for _ in range(count):
        began = time.perf_counter()
        connection.request('POST', path, b'x' * 200, headers)
        response = connection.getresponse()
        response.read()
        if response.status == 200:
            times.append(time.perf_counter() - began)
    connection.close()
    return times


def measure(cell: Cluster) -> list[dict[str, float]]:
    """Return medians and 99th percentiles for rising numbers of concurrent callers."""
    daemon = cell.daemons['ub-east-d0']
    runner = next(one for one in cell.hosts if one.kind == 'endpoint')
    headers = {'dandelionreel-customer': 'khangai', 'dandelionreel-idempotent': 'true'}
    rows = []
    for load in CALLER_COUNTS:
        requests_per_caller = REQUESTS // load
        with ThreadPoolExecutor(load) as pool:
            direct = run_callers(
                pool, load, runner.address, runner.port, '/echo', headers, requests_per_caller
            )
            proxied = run_callers(
                pool,
                load,
                daemon.address,
                daemon.caller_port,
                '/v1/services/booking/echo',
                headers,
                requests_per_caller,
            )
        rows.append(
            {
                'callers': load,
                'direct_median_ms': percentile(direct, 0.5) * 1000,
                'direct_p99_ms': percentile(direct, 0.99) * 1000,
                'through_median_ms': percentile(proxied, 0.5) * 1000,
                'through_p99_ms': percentile(proxied, 0.99) * 1000,
                'answered': len(proxied),
            },
        )
    return rows


def run_callers(
    pool, load: int, address: str, port: int, path: str, headers, requests_per_caller: int
) -> list[float]:
    """Return the times of all requests of ``load`` concurrent callers."""
    futures = [
        pool.submit(time_requests, address, port, path, headers, requests_per_caller)
        for _ in range(load)
    ]
    return [seconds for future in futures for seconds in future.result()]


def main() -> int:
    """Measure with all log lines written, and with one line in 100."""
    for name, logs in (('every line', {}), ('one line in 100', {'sample_every': 100})):
        layout = Layout(('ub-east',), 1, 1, 2, logs=logs, timings=TIMINGS)
        with Cluster(layout) as cell:
            cell.publish(contract())
            time.sleep(2)
            for row in measure(cell):
                added_median = row['through_median_ms'] - row['direct_median_ms']
                added_p99 = row['through_p99_ms'] - row['direct_p99_ms']
                print_line(f'log {name}: {json.dumps(row)}')
                print_line(f'  adds {added_median:.2f} ms at the median, {added_p99:.2f} ms at p99')
    return 0


if __name__ == '__main__':
    sys.exit(main())
