"""Writes the example settings and contracts under examples/: ``make examples``."""

import json
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent.parent / 'examples'
KHANGAI_ZONES = ('ub-airport', 'ub-center', 'ub-east', 'ub-west')
KINGSTON_ZONES = ('kin-harbour', 'kin-north', 'kin-portmore')


def make_settings(zones: tuple[str, ...], zone_index: int, number: int) -> dict[str, Any]:
    """Return the settings of one daemon of a zone."""
    zone = zones[zone_index]
    address = f'10.{20 + zone_index}.0.{10 + number}'
    return {
        'host': f'entry-{zone}-{number}',
        'availability_zone': zone,
        'availability_zones': list(zones),
        'callers': {'address': address, 'port': 7001},
        'admin': {'address': address, 'port': 7002},
        'peers': {'address': address, 'port': 7003},
        'platform': {
            'log': {'address': '10.10.0.1', 'port': 8001},
            'hosts': {'address': '10.10.0.2', 'port': 8002},
        },
    }


def khangai_contract() -> dict[str, Any]:
    """Return the contract of Khangai: entry checks are urgent, settlements may wait."""
    return {
        'customer': 'khangai',
        'version': 1,
        'weight': 1,
        'classes': [
            {'name': 'urgent', 'priority': 100, 'longest_wait': 2.5},
            {'name': 'service', 'priority': 60, 'longest_wait': 60},
            {'name': 'batch', 'priority': 10, 'longest_wait': 21600, 'preemptible': True},
        ],
        'quota': {'processors': 760, 'memory_mb': 1_500_000},
        'guaranteed': {'processors': 200, 'memory_mb': 400_000},
        'requests': {'rate': 400, 'burst': 800, 'concurrency': 192, 'retry_budget': 0.1},
        'services': ['booking'],
    }


def kingston_contract() -> dict[str, Any]:
    """Return the contract of Kingston: map requests are urgent, basin charts run overnight."""
    return {
        'customer': 'caribsea-charts',
        'version': 1,
        'weight': 1,
        'classes': [
            {'name': 'urgent', 'priority': 100, 'longest_wait': 2},
            {'name': 'service', 'priority': 60, 'longest_wait': 60},
            {'name': 'batch', 'priority': 10, 'longest_wait': 28800, 'preemptible': True},
        ],
        'quota': {'processors': 760, 'memory_mb': 1_500_000, 'accelerators': 8},
        'guaranteed': {'processors': 300, 'memory_mb': 600_000},
        'requests': {'rate': 200, 'burst': 400, 'concurrency': 160, 'retry_budget': 0.2},
        'services': ['charts'],
    }


def single_host_settings() -> dict[str, Any]:
    """Return settings for one daemon with nothing else, for a first try."""
    return {
        'host': 'alone',
        'availability_zone': 'here',
        'callers': {'address': '127.0.0.1', 'port': 7001},
        'admin': {'address': '127.0.0.1', 'port': 7002},
        'peers': {'address': '127.0.0.1', 'port': 7003},
        'platform': {
            'log_plugin': 'memory',
            'hosts_plugin': 'static',
            'workers_plugin': 'memory',
            'static_hosts': [
                {
                    'name': 'worker-1',
                    'kind': 'worker',
                    'availability_zone': 'here',
                    'address': '127.0.0.1',
                    'port': 0,
                    'rack': 'rack-1',
                    'capacity': {'processors': 8, 'memory_mb': 16384, 'accelerators': 0},
                },
            ],
        },
    }


def make_job(customer: str, command: str, *, idempotent: bool) -> dict[str, Any]:
    """Return the body of a job submission."""
    return {
        'customer': customer,
        'command': command,
        'demand': {'processors': 2, 'memory_mb': 2048},
        'task_class': 'batch',
        'idempotent': idempotent,
        'run_seconds': 5,
        'kind': command.split()[0],
    }


def write_json(path: Path, content: dict[str, Any]) -> None:
    """Write a JSON file and create its folder."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(content, indent=2) + '\n')


def main() -> None:
    """Write all examples."""
    for name, zones, hosts_per_zone in (
        ('khangai', KHANGAI_ZONES, 2),
        ('kingston', KINGSTON_ZONES, 3),
    ):
        for index, zone in enumerate(zones):
            for number in range(hosts_per_zone):
                path = FOLDER / name / f'entry-{zone}-{number}.json'
                write_json(path, make_settings(zones, index, number))
    write_json(FOLDER / 'khangai' / 'contract.json', khangai_contract())
    write_json(FOLDER / 'kingston' / 'contract.json', kingston_contract())
    write_json(FOLDER / 'alone' / 'settings.json', single_host_settings())
    write_json(
        FOLDER / 'alone' / 'contract.json',
        {**khangai_contract(), 'quota': {'processors': 8, 'memory_mb': 16384}, 'guaranteed': {}},
    )
    write_json(FOLDER / 'alone' / 'job.json', make_job('khangai', 'run 2', idempotent=True))
    write_json(
        FOLDER / 'khangai' / 'settlement.json',
        make_job('khangai', 'settle partners', idempotent=False),
    )
    write_json(
        FOLDER / 'kingston' / 'basin-chart.json',
        make_job('caribsea-charts', 'rebuild basin', idempotent=True),
    )


if __name__ == '__main__':
    main()
