"""Faults that tests can set in a stand-in."""

import curio
import msgspec

from dandelionreel.http import CloseConnection, Request, Response, json_response


class Faults(msgspec.Struct):
    """The faults in effect; all are off by default.

    ``outage`` closes connections without an answer; ``slow`` delays each answer by so
    many seconds; ``lose_answers`` is the number of requests that take effect and whose
    answers are lost; ``fail_tasks`` makes a worker fail every task that it starts;
    ``leaving`` makes a runner close each connection after its answer.
    """

    outage: bool = False
    slow: float = 0
    lose_answers: int = 0
    fail_tasks: bool = False
    leaving: bool = False

    async def apply_before(self) -> None:
        """Apply the faults that act before a request takes effect."""
        if self.outage:
            raise CloseConnection
        if self.slow:
            await curio.sleep(self.slow)

    def apply_after(self) -> None:
        """Apply the faults that act after a request took effect."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise CloseConnection


class FaultSwitch:
    """Base of the stand-ins whose faults tests set over HTTP."""

    def __init__(self) -> None:
        """Start without faults."""
        self.faults = Faults()

    def replace_faults(self, request: Request) -> Response:
        """Replace the faults with those in the request body."""
        self.faults = msgspec.json.decode(request.body, type=Faults)
        return json_response(self.faults)
