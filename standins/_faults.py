"""Faults that a stand-in can be told to show."""

import curio
import msgspec

from dandelionreel.http import Answer, CloseConnection, Request, answer_json


class Faults(msgspec.Struct):
    """What goes wrong at present; all off by default.

    ``outage`` answers nothing; ``slow`` adds seconds to each answer;
    ``lose_answers`` acts on that many requests and then drops the connection;
    ``fail_tasks`` lets a worker fail everything it starts.
    """

    outage: bool = False
    slow: float = 0
    lose_answers: int = 0
    fail_tasks: bool = False
    leaving: bool = False

    async def apply_before(self) -> None:
        """Apply what happens before a request is acted upon."""
        if self.outage:
            raise CloseConnection
        if self.slow:
            await curio.sleep(self.slow)

    def apply_after(self) -> None:
        """Apply what happens after it took effect."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise CloseConnection


class FaultSwitch:
    """Lets a test set the faults of one stand-in over HTTP."""

    def __init__(self) -> None:
        """Start without faults."""
        self.faults = Faults()

    def set(self, request: Request) -> Answer:
        """Replace the faults by those of the body."""
        self.faults = msgspec.json.decode(request.body, type=Faults)
        return answer_json(self.faults)
