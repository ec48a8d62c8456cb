"""The records of the operator and of the runners, as the cell wants them decoded."""

from dandelionreel.cell.model import Configuration, RecordCodec, Registration
from dandelionreel.platform._configuration import CONFIGURATION_KEY, ConfigurationDecoder
from dandelionreel.platform._registrations import decode_registration


class JsonRecordCodec(RecordCodec):
    """JSON records under the platform's keys."""

    configuration_key = CONFIGURATION_KEY

    def __init__(self) -> None:
        """Start without a former configuration."""
        self._configurations = ConfigurationDecoder()

    def decode_configuration(self, content: bytes) -> Configuration:
        """Return the configuration; raises ``UnreadableError``."""
        return self._configurations.decode(content)

    def decode_registration(self, runner: str, content: bytes) -> Registration:
        """Return a runner's registration; raises ``UnreadableError``."""
        return decode_registration(runner, content)
