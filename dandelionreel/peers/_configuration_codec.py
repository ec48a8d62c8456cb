"""Encodes and decodes the messages by which hosts exchange the operators' configuration."""

from typing import Any

from dandelionreel.peers._cell_messages import (
    ConfigurationDocument,
    ConfigurationDocumentWanted,
    ConfigurationGiven,
    ConfigurationWanted,
)


def encode_configuration_wanted(root: Any, message: ConfigurationWanted) -> None:
    """Encode a query for the version of a peer."""
    root.configurationWanted = message.version


def encode_configuration_given(root: Any, message: ConfigurationGiven) -> None:
    """Encode the answer to a query for the version."""
    root.init('configuration').from_dict(
        {'version': message.version, 'document': message.document, 'current': message.current}
    )


def decode_configuration_given(root: Any) -> ConfigurationGiven:
    """Decode the answer to a query for the version."""
    node = root.configuration
    return ConfigurationGiven(node.version, bytes(node.document), node.current)


def encode_document_wanted(root: Any, message: ConfigurationDocumentWanted) -> None:
    """Encode a request for the document of a newer version."""
    root.configurationDocumentWanted = message.version


def encode_document(root: Any, message: ConfigurationDocument) -> None:
    """Encode a compressed document."""
    root.init('configurationDocument').from_dict(
        {
            'version': message.version,
            'compressed': message.compressed,
            'nextOffset': message.next_offset,
        }
    )


def decode_document(root: Any) -> ConfigurationDocument:
    """Decode a compressed document."""
    node = root.configurationDocument
    return ConfigurationDocument(node.version, bytes(node.compressed), node.nextOffset)
