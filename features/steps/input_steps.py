"""Steps that send invalid input to the ports for callers and peers."""

import json
import os
import socket
import struct

from behave import then, when

from features.cells import job

DAEMON_NAME = 'ub-east-d0'
HEAD = b'POST /v1/jobs HTTP/1.1\r\nhost: x\r\n'
PAYLOAD_BY_DESCRIPTION = {
    'a truncated head': HEAD,
    'a head of 100000 bytes': HEAD + b'long: ' + b'x' * 100_000,
    'a body above the limit': HEAD + b'content-length: 99999999\r\n\r\n',
    'two different Content-Lengths': HEAD + b'content-length: 1\r\ncontent-length: 2\r\n\r\nab',
    'a body that is never sent': HEAD + b'content-length: 10\r\n\r\nabc',
    'random bytes': b'\x00\xff\x13\x37' * 50 + b'\r\n\r\n',
    'a negative Content-Length': HEAD + b'content-length: -1\r\n\r\n',
}


def _make_frames():
    from dandelionreel.peers import Done, Frame, encode_frame
    from dandelionreel.peers._codec import _schema

    valid_frame = encode_frame(Frame(1, 'x/1', 1, 1, Done()))
    other_version_frame = _schema.Frame.new_message(version=99, exchange=1, sender='x/1').to_bytes()
    return {
        'a frame of 2 gigabytes': struct.pack('>I', 2**31) + b'x',
        'a frame of another version': struct.pack('>I', len(other_version_frame))
        + other_version_frame,
        'a frame of random bytes': struct.pack('>I', 64) + os.urandom(64),
        'half a frame': struct.pack('>I', len(valid_frame)) + valid_frame[:8],
    }


def _send(address, port, payload, *, half_close):
    with socket.create_connection((address, port), timeout=20) as sock:
        sock.sendall(payload)
        if half_close:
            sock.shutdown(socket.SHUT_WR)
        received = b''
        try:
            while chunk := sock.recv(65_536):
                received += chunk
        except ConnectionResetError:
            pass
        return received


@when("{what} is sent to the callers' port")
def send_invalid_http(context, what):
    daemon = context.cell.daemons[DAEMON_NAME]
    context.received = _send(
        daemon.address, daemon.caller_port, PAYLOAD_BY_DESCRIPTION[what], half_close=False
    )


@then('the connection is answered with {status:d} or closed')
def check_status(context, status):
    status_line = context.received.split(b'\r\n', 1)[0]
    assert status_line in {b''} or str(status).encode() in status_line, context.received[:300]


@then('the daemon still answers')
def check_alive(context):
    assert context.cell.request_as_operator(DAEMON_NAME, 'GET', '/readyz').status == 200


@when('a request is sent with header {header} set to {text}')
def send_header(context, header, text):
    headers = {'dandelionreel-customer': 'khangai', header: text}
    context.reply = context.cell.request_as_caller(
        DAEMON_NAME, 'POST', '/v1/services/booking/echo', b'', headers
    )


@when('a request is sent to service {service}')
def send_service(context, service):
    headers = {'dandelionreel-customer': 'khangai'}
    context.reply = context.cell.request_as_caller(
        DAEMON_NAME, 'POST', f'/v1/services/{service}/x', b'', headers
    )


@when('a job is submitted with {change}')
def submit_invalid_job(context, change):
    context.reply = context.cell.submit(DAEMON_NAME, job(**json.loads(change)))


@when('another job is submitted with that key')
def submit_other_job(context):
    context.reply = context.cell.submit(DAEMON_NAME, job('run 9'), context.key)


@when("{what} is sent to the peers' port")
def send_invalid_frame(context, what):
    daemon = context.cell.daemons[DAEMON_NAME]
    half_close = what == 'half a frame'
    context.received = _send(
        daemon.address, daemon.peer_port, _make_frames()[what], half_close=half_close
    )


@then('the connection is closed')
def check_closed(context):
    assert context.received == b''
