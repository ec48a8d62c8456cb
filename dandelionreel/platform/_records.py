"""The records of the operator and of the runners, as the cell wants them decoded."""

from dandelionreel.cell import Configuration, RecordCodec, Registration
from dandelionreel.platform._configuration import CONFIGURATION_KEY, decode_configuration
from dandelionreel.platform._registrations import decode_registration


class JsonRecordCodec(RecordCodec):
    """JSON records under the platform's keys."""

    configuration_key = CONFIGURATION_KEY

    def decode_configuration(self, content: bytes) -> Configuration:
        """Return the configuration; raises ``UnreadableError``."""
        return decode_configuration(content)

    def decode_registration(self, runner: str, content: bytes) -> Registration:
        """Return a runner's registration; raises ``UnreadableError``."""
        return decode_registration(runner, content)
