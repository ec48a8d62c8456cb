"""Output as aligned text or as JSON."""

import json
from collections.abc import Sequence
from typing import Any, TextIO

INDENT = 2
COLUMN_GAP = '  '


def write_json(stream: TextIO, content: Any) -> None:
    """Write JSON with sorted keys."""
    stream.write(json.dumps(content, indent=INDENT, sort_keys=True))
    stream.write('\n')


def write_fields(stream: TextIO, content: dict[str, Any]) -> None:
    """Write one field per line, values aligned."""
    width = max((len(name) for name in content), default=0)
    for name, field in content.items():
        stream.write(f'{name.ljust(width)}{COLUMN_GAP}{_format_field(field)}\n')


def write_table(stream: TextIO, rows: Sequence[dict[str, Any]], columns: Sequence[str]) -> None:
    """Write a header and rows, columns aligned."""
    cells = [list(columns)]
    cells.extend([_format_field(row.get(column, '')) for column in columns] for row in rows)
    widths = [max(len(line[index]) for line in cells) for index in range(len(columns))]
    for line in cells:
        padded = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        stream.write(f'{COLUMN_GAP.join(padded).rstrip()}\n')


def _format_field(field: Any) -> str:
    if isinstance(field, bool):
        return 'yes' if field else 'no'
    if isinstance(field, float):
        return f'{field:.3f}'.rstrip('0').rstrip('.')
    if isinstance(field, dict):
        pairs = [f'{name}={_format_field(part)}' for name, part in field.items() if part]
        return ' '.join(pairs) or '-'
    if isinstance(field, list):
        return ', '.join(_format_field(part) for part in field) or '-'
    return '-' if field == '' else str(field)
