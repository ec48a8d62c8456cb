"""A stand-in for the platform's list of hosts."""

import msgspec
import xxhash

from dandelionreel.backing import HostEntry, HostsResult
from dandelionreel.http import Answer, Request, answer_json
from standins._faults import FaultSwitch

FAULTS = '/control/faults'
HOSTS = '/control/hosts'
HTTP_NOT_MODIFIED = 304


class HostsStandIn(FaultSwitch):
    """A list that tests replace as a whole; its lag is the test's to make."""

    def __init__(self, hosts: tuple[HostEntry, ...] = ()) -> None:
        """Start with ``hosts``."""
        super().__init__()
        self.hosts = hosts

    async def handle(self, request: Request) -> Answer:
        """Answer one request."""
        if request.path == FAULTS:
            return self.set(request)
        if request.path == HOSTS:
            self.hosts = msgspec.json.decode(request.body, type=HostsResult).hosts
            return answer_json(HostsResult(self.hosts))
        await self.faults.before()
        return self._list(request)

    def _list(self, request: Request) -> Answer:
        zone = request.query_by_name.get('availability_zone', '')
        shown = tuple(
            one for one in self.hosts if one.kind == 'entry' or zone in {'', one.availability_zone}
        )
        body = msgspec.json.encode(HostsResult(shown))
        mark = f'"{xxhash.xxh64_hexdigest(body)}"'
        if request.header('if-none-match') == mark:
            return Answer(HTTP_NOT_MODIFIED, (('etag', mark),))
        return answer_json(HostsResult(shown), headers=(('etag', mark),))
