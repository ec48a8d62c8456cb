"""Newer versions of the configuration that a host has heard of but does not have. No I/O."""


class KnownVersions:
    """Remembers since when each version that this host lacks is known.

    Load pattern: a version takes long on the link of this host, and others follow it.
    """

    def __init__(self) -> None:
        """Start with no version known."""
        #: The newest version that another host is known to have.
        self.newest = 0
        self._known_since_by_version: dict[int, float] = {}

    def record(self, version: int, now: float) -> None:
        """Record that another host has a version, in monotonic seconds."""
        if version > self.newest:
            self.newest = version
            self._known_since_by_version[version] = now

    def seconds_behind(self, version: int, now: float) -> float:
        """Return for how long a version newer than ``version``, the one in force, is known."""
        for known in tuple(self._known_since_by_version):
            if known <= version:
                del self._known_since_by_version[known]
        return now - min(self._known_since_by_version.values(), default=now)
