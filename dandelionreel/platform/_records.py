"""Codec of the records of the operator and of the runners."""

from dandelionreel.cell.model import Configuration, RecordCodec, Registration
from dandelionreel.platform._configuration import CONFIGURATION_KEY, ConfigurationDecoder
from dandelionreel.platform._registrations import decode_registration


class JsonRecordCodec(RecordCodec):
    """Decodes the JSON records that the platform stores."""

    configuration_key = CONFIGURATION_KEY

    def __init__(self) -> None:
        """Create a codec that has seen no configuration yet."""
        self._configurations = ConfigurationDecoder()

    def decode_configuration(self, content: bytes) -> Configuration:
        """Decode a configuration; raises ``UnreadableError``."""
        return self._configurations.decode(content)

    def decode_registration(self, runner: str, content: bytes) -> Registration:
        """Decode a runner's registration; raises ``UnreadableError``."""
        return decode_registration(runner, content)
