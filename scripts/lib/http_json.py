"""JSON over HTTP/1.1 to one process; a connection per call."""

import http.client
import json


class CallError(Exception):
    """The process did not answer, or not with JSON and status 200."""


def call_text(endpoint, method, path, body=None, timeout_s=5.0):
    """Returns (status, text)."""
    host, port = endpoint.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text,
                           {"Content-Type": "application/json"})
        answer = connection.getresponse()
        return answer.status, answer.read().decode(errors="replace")
    except (OSError, http.client.HTTPException) as error:
        raise CallError(f"{endpoint}{path}: {error!r}") from error
    finally:
        connection.close()


def post(endpoint, path, body, timeout_s=5.0, any_status=False):
    """The answer's JSON; a status other than 200 counts with any_status."""
    status, text = call_text(endpoint, "POST", path, body, timeout_s)
    if status != 200 and not any_status:
        raise CallError(f"{endpoint}{path}: status {status}: {text[:300]}")
    try:
        return json.loads(text)
    except ValueError as error:
        raise CallError(f"{endpoint}{path}: no JSON: {text[:300]}") from error


def get(endpoint, path, timeout_s=5.0):
    status, text = call_text(endpoint, "GET", path, None, timeout_s)
    if status != 200:
        raise CallError(f"{endpoint}{path}: status {status}")
    return text
