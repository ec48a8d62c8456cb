"""Stands for hosts that send calls to a policy service, which handles each host's in turn."""

from types import SimpleNamespace

import curio

from dandelionreel.cell.model import AdviceError, Permit
from dandelionreel.cell.model._records import Member
from dandelionreel.kernel import Verdict
from dandelionreel.peers import AdviceGiven, PeerError

OWN_HOST = 'h0'
#: Faults of a call. A lost one is handled by the service, but its answer is lost.
LOST, REFUSED, CUT, BROKEN = 'lost', 'refused', 'cut', 'broken'


class AdviceHosts:
    """Both the local advisor of the own host and the links to its peers."""

    def __init__(self, count, seconds):
        self.seconds = seconds
        self.members = {f'h{number}': Member('north', f'h{number}', 7) for number in range(count)}
        #: Faults of the next calls of a host; ``factor_by_host`` makes its calls longer.
        self.faults_by_host = {}
        self.factor_by_host = {}
        self.free_at_by_host = {}
        self.calls = []
        self.queued_seconds = []
        self.clock = None

    async def request(self, step_or_member, runners_or_message, timeout):
        if isinstance(step_or_member, Member):
            host, message = step_or_member.address, runners_or_message
            await self._call(host, message.job, message.timeout, PeerError)
            permits = tuple((runner, 'ticket') for runner in message.runners)
            return SimpleNamespace(message=AdviceGiven(True, permits))
        await self._call(OWN_HOST, step_or_member.job, timeout, AdviceError)
        return tuple(Permit(runner, 'ticket') for runner in runners_or_message)

    async def _call(self, host, job, timeout, error):
        now = self.clock.monotonic()
        self.calls.append((now, host, job))
        faults = self.faults_by_host.get(host, [])
        fault = faults.pop(0) if faults else ''
        if fault == BROKEN:
            raise RuntimeError('a fault of the program')
        if fault == REFUSED:
            raise _make_error(error, Verdict.NOT_RUN)
        begin = max(now, self.free_at_by_host.get(host, 0))
        self.queued_seconds.append(begin - now)
        end = begin + self.seconds * self.factor_by_host.get(host, 1)
        self.free_at_by_host[host] = end
        if fault == CUT:
            raise _make_error(error, Verdict.UNKNOWN)
        if fault == LOST or end - now > timeout:
            await curio.sleep(timeout)
            raise _make_error(error, Verdict.UNKNOWN)
        await curio.sleep(end - now)


def _make_error(error, verdict):
    return PeerError('no answer', verdict) if error is PeerError else AdviceError('no answer')
