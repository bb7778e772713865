"""The two deployments of the design's section 1.6, as data."""

import dataclasses

NODE_PORTS = {"callers": 7100, "peers": 7101, "gossip": 7102,
              "operators": 7103}
UPSTREAM_PORT = 7300
STORE_PORT = 7000
PROXY_CONTROL_PORT = 7400
LOCK_PORT = 7999
GROUP_COUNT = 3
SERVERS_PER_GROUP = 3


@dataclasses.dataclass(frozen=True)
class Deployment:
    name: str
    database: str
    zones: tuple
    zone_latency_ms: float
    client_latency_us: int
    connections: int
    # Class name to (priority, timeout in ms).
    classes: dict
    # Classes whose reads may be up to this old, in ms.
    allowances: dict


BUKHAN = Deployment(
    name="bukhan", database="lending-ledger",
    zones=("kr-central-a", "kr-central-b", "kr-central-c", "kr-central-d"),
    zone_latency_ms=1.5, client_latency_us=3000, connections=15,
    classes={"browse": ("normal", 1000), "stock_count": ("normal", 1000),
             "checkout": ("high", 2000), "return": ("high", 2000),
             "reservation": ("high", 2000)},
    allowances={"browse": 10000, "stock_count": 10000})

LANKAPURA = Deployment(
    name="lankapura", database="transcript-db",
    zones=("hulftsdorp", "kotte", "negombo"),
    zone_latency_ms=0.5, client_latency_us=1000, connections=35,
    classes={"search": ("normal", 1000), "correction": ("urgent", 2000),
             "typing_return": ("high", 2000)},
    allowances={"search": 10000})

DEPLOYMENTS = {it.name: it for it in (BUKHAN, LANKAPURA)}


@dataclasses.dataclass(frozen=True)
class Server:
    id: str
    group: str
    zone: str
    address: str       # Where it listens.
    link: str          # Where others reach it, through the fault proxy.
    initial_primary: bool


@dataclasses.dataclass(frozen=True)
class Node:
    id: str
    zone: str
    ip: str

    def endpoint(self, use):
        return f"{self.ip}:{NODE_PORTS[use]}"


class Layout:
    """Every process of one deployment with its own loopback address."""

    def __init__(self, deployment, x, node_count=9):
        self.deployment = deployment
        self.x = x
        self.store = f"127.{x}.3.1:{STORE_PORT}"
        self.proxy_control = f"127.{x}.4.1:{PROXY_CONTROL_PORT}"
        zones = deployment.zones
        self.nodes = [Node(f"host-{i + 1}", zones[i % len(zones)],
                           f"127.{x}.1.{i + 1}") for i in range(node_count)]
        self.servers = [self._server(i)
                        for i in range(GROUP_COUNT * SERVERS_PER_GROUP)]

    def _server(self, i):
        group, member = divmod(i, SERVERS_PER_GROUP)
        zones = self.deployment.zones
        name = f"{self.deployment.database}-{group}"
        return Server(
            id=f"{name}-{'abc'[member]}", group=name,
            # The groups' home zones differ, so do their members' zones.
            zone=zones[(group + member) % len(zones)],
            address=f"127.{self.x}.2.{i + 1}:{UPSTREAM_PORT}",
            link=f"127.{self.x}.5.{i + 1}:{UPSTREAM_PORT}",
            initial_primary=member == 0)

    def groups(self):
        names = {}
        for server in self.servers:
            names.setdefault(server.group, []).append(server)
        return names

    def zone_of_ip(self):
        """Zone of every address that opens connections."""
        zones = {it.ip: it.zone for it in self.nodes}
        for server in self.servers:
            zones[server.address.split(":")[0]] = server.zone
        return zones
