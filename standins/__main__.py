"""Runs all stand-ins of a plan file in one process."""

import logging
import sys
from contextlib import AsyncExitStack
from pathlib import Path

import curio
import msgspec

from dandelionreel.backing import HostEntry
from dandelionreel.http import Request, Response, Server, json_response
from standins._hosts import HostsStandIn
from standins._log import LogStandIn
from standins._plan import Plan
from standins._relay import LinkFaults, Relay
from standins._runner import RunnerStandIn
from standins._worker import WorkerStandIn

CONTROL_CUTS = '/control/cuts'


class StandIns:
    """The log, the host list, workers, endpoints and relays of one plan."""

    def __init__(self, plan: Plan) -> None:
        """Create the servers of the plan."""
        self._plan = plan
        self._link_faults = LinkFaults(plan.name_by_address)
        self._log = LogStandIn()
        self._hosts = HostsStandIn(plan.hosts)

    async def run(self) -> None:
        """Serve until killed."""
        plan = self._plan
        async with AsyncExitStack() as stack:
            await Server(self._log.handle).start(stack, plan.address, plan.log_port)
            await Server(self._hosts.handle).start(stack, plan.address, plan.hosts_port)
            await Server(self._control).start(stack, plan.address, plan.control_port)
            for entry in plan.hosts:
                await self._start_host(stack, entry)
            for relay in plan.relays:
                listen_address = (relay.address, relay.port)
                target_address = (relay.to_address, relay.to_port)
                await Relay(self._link_faults, relay.target, listen_address, target_address).start(
                    stack
                )
            sys.stdout.write('ready\n')
            sys.stdout.flush()
            await curio.sleep(plan.seconds)

    async def _start_host(self, stack: AsyncExitStack, entry: HostEntry) -> None:
        if entry.kind == 'worker':
            await WorkerStandIn(entry).start(stack)
        elif entry.kind == 'endpoint':
            await RunnerStandIn(entry).start(stack)

    async def _control(self, request: Request) -> Response:
        if request.path == CONTROL_CUTS:
            return self._link_faults.handle(request)
        return json_response({})


def main() -> None:
    """Load the plan file named by the first argument and run its stand-ins."""
    logging.getLogger('curio').addHandler(logging.NullHandler())
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Plan)
    curio.run(StandIns(plan).run)


if __name__ == '__main__':
    main()
