"""A stand-in for the platform's metadata store, after PROTOCOL.md."""

import asyncio
import base64
import time

from net import Server


class Store:
    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    def put(self, key, value, lease=0):
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value.encode()).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.add_event(item)

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.add_event({"key": key, "revision": self.revision, "deleted": True})

    def add_event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def end_expired_leases(self):
        for lease, (_, end) in list(self.leases.items()):
            if time.monotonic() > end:
                self.end_lease(lease)

    async def handle(self, method, path, query, headers, body):
        self.end_expired_leases()
        name = path.removeprefix("/-/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as_of": self.revision}) if item else (404, {})
        if name == "kv-range":
            items = [
                item for key, item in sorted(self.items.items())
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            ]
            return 200, {"items": items, "truncated": False, "as_of": self.revision}
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.commit(body)
        if name == "kv-lease":
            lease = self.revision * 1000 + len(self.leases)
            self.revision += 1
            ttl_ms = body["ttl_ms"]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        verb, _, number = name.partition("/")
        lease = int(number or 0)
        if lease not in self.leases:
            return 404, {}
        if verb == "kv-keep":
            ttl_ms = self.leases[lease][0]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"ttl_ms": ttl_ms}
        self.end_lease(lease)
        return 200, {}

    def commit(self, body):
        expected = body["expected_revision"]
        found = [self.items.get(row["key"]) for row in expected]
        for row, item in zip(expected, found):
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item for item in found if item]}
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
        for put in body["puts"]:
            value = base64.b64decode(put["value"]).decode()
            self.put(put["key"], value, put["lease"])
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self.end_expired_leases()
            events = [
                event for event in self.history
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            remaining_s = end - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(remaining_s, 0.2))
            except TimeoutError:
                pass
