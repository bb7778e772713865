"""A single caller that shows the promises step by step.

Its requests go to the history like those of the load driver, because the
checker takes a write that nobody sent for a second run.
"""

import json
import secrets
import time

from cluster import monotonic_us
from http_json import post


class Caller:
    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        self.token = None
        self.records = []

    def new_request_id(self):
        return f"{int(time.time() * 1000)}-{secrets.token_hex(16)}"

    def statement(self, node, group, request_class, kind, text,
                  request_id=None, repeat=False):
        deployment = self.cluster.layout.deployment
        body = {"customer": deployment.name, "database": deployment.database,
                "group": group, "class": request_class, "kind": kind,
                "statement": text, "timeout_ms": 2000}
        if self.token:
            body["session"] = self.token
        if request_id:
            body["request_id"] = request_id
        if repeat:
            body["repeat"] = True
        sent = monotonic_us()
        answer = post(node.endpoint("callers"), "/v1/statement", body,
                      any_status=True)
        self._record(sent, node, body, answer)
        if answer.get("outcome") == "answered":
            self.token = answer.get("session") or self.token
        return answer

    def _record(self, sent, node, body, answer):
        error = answer.get("error") or {}
        self.records.append({
            "sent_us": sent, "received_us": monotonic_us(),
            "session": self.name, "node": node.endpoint("callers"),
            "group": body["group"], "class": body["class"],
            "kind": body["kind"], "request_id": body.get("request_id", ""),
            "statement": body["statement"], "transaction": "",
            "with_session": "session" in body,
            "repeat": body.get("repeat", False), "dropped": False,
            "transfer": "completed", "outcome": answer.get("outcome") or "",
            "error": error.get("type") or "",
            "result": answer.get("result") or "",
            "server": answer.get("server") or "",
            "role": answer.get("role") or "",
            "answered_id": answer.get("request_id") or "",
            "replayed": bool(answer.get("replayed"))})

    def append_to_history(self):
        with open(self.cluster.path("history.jsonl"), "a") as file:
            for record in self.records:
                file.write(json.dumps(record) + "\n")
