"""Encodes complete responses as HTTP/1.1."""

from typing import Any

import h11

from dandelionreel.http._messages import Request, Response

#: Headers that depend on the connection rather than on the response.
FRAMING_HEADERS = frozenset(('connection', 'transfer-encoding', 'content-length'))


def encode_response(
    http: Any, request: Request | None, response: Response, *, is_last: bool
) -> bytes:
    """Return the bytes of the response to ``request``, the last one if ``is_last``.

    ``http`` is the state of the connection. A ``HEAD`` request gets no body.
    """
    headers = [(name, content) for name, content in response.headers if name not in FRAMING_HEADERS]
    headers.append(('content-length', str(len(response.body))))
    if is_last:
        headers.append(('connection', 'close'))
    payload: bytes = http.send(h11.Response(status_code=response.status, headers=headers))
    if response.body and (request is None or request.method != 'HEAD'):
        payload += http.send(h11.Data(data=response.body))
    return payload + http.send(h11.EndOfMessage())
