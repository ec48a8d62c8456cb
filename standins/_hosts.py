"""A stand-in for the platform's list of hosts."""

import msgspec
import xxhash

from dandelionreel.backing import HostEntry, HostsResult
from dandelionreel.http import Request, Response, json_response
from standins._faults import FaultSwitch

FAULTS = '/control/faults'
HOSTS = '/control/hosts'
#: Adds raw entries to the list, as another writer may: ``POST`` them, one on each line.
OTHER_ENTRIES = '/control/other-entries'
HTTP_OK = 200
HTTP_NOT_MODIFIED = 304


class HostsStandIn(FaultSwitch):
    """A list that tests replace as a whole, and late if they want it to be outdated."""

    def __init__(self, hosts: tuple[HostEntry, ...] = ()) -> None:
        """Start with ``hosts``."""
        super().__init__()
        self.hosts = hosts
        self.other_entries: list[bytes] = []

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == FAULTS:
            return self.replace_faults(request)
        if request.path == HOSTS:
            self.hosts = msgspec.json.decode(request.body, type=HostsResult).hosts
            return json_response(HostsResult(self.hosts))
        if request.path == OTHER_ENTRIES:
            self.other_entries = request.body.splitlines()
            return json_response({})
        await self.faults.apply_before()
        return self._list(request)

    def _list(self, request: Request) -> Response:
        zone = request.query_by_name.get('availability_zone', '')
        listed = tuple(
            host
            for host in self.hosts
            if host.kind == 'entry' or zone in {'', host.availability_zone}
        )
        entries = [*map(msgspec.json.encode, listed), *self.other_entries]
        body = b'{"hosts":[%b]}' % b','.join(entries)
        entity_tag = f'"{xxhash.xxh64_hexdigest(body)}"'
        if request.header('if-none-match') == entity_tag:
            return Response(HTTP_NOT_MODIFIED, (('etag', entity_tag),))
        headers = (('content-type', 'application/json'), ('etag', entity_tag))
        return Response(HTTP_OK, headers, body)
