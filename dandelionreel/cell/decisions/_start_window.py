"""How many starts an owner may have under way, by how late its own tasks run. No I/O.

Load pattern: hundreds of tasks wait, and the owner's processor is slow. Sent all at once, their
starts hold up the owner's heartbeats, so that peers take it for dead and claim the cell, and an
urgent start waits behind all of them.
"""

#: Starts that may be under way at the same time.
MOST_STARTS = 64
FEWEST_STARTS = 6
#: Seconds by which a task of the owner may run late before fewer starts are sent, and up to which
#: more are.
LATE_SECONDS = 0.1
PROMPT_SECONDS = 0.05
#: Starts that are added after each prompt run.
ADDED_STARTS = 2


class StartWindow:
    """Shrinks by half whenever the owner's tasks run late, and grows slowly while they do not."""

    def __init__(self) -> None:
        """Begin with as many starts as there may ever be."""
        self.most = MOST_STARTS
        #: By how many seconds a task ran late when last measured.
        self.delay = 0.0

    @property
    def limited(self) -> bool:
        """Return whether the owner sends fewer starts than it may."""
        return self.most < MOST_STARTS

    def note_delay(self, seconds: float) -> None:
        """Note by how many seconds a task of the owner has just run late."""
        self.delay = seconds
        if seconds > LATE_SECONDS:
            self.most = max(FEWEST_STARTS, self.most // 2)
        elif seconds < PROMPT_SECONDS:
            self.most = min(MOST_STARTS, self.most + ADDED_STARTS)
