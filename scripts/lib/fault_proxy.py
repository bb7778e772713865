"""The fault proxy between everyone and the upstream servers."""

from http_json import get, post


def start(cluster):
    cluster.cut_servers = {}  # Server to what its heal does.
    cluster.cuts_made = []
    cluster.processes.start("faultproxy", [
        cluster.binary("standin_faultproxy"),
        "--control", cluster.layout.proxy_control, "--seed", cluster.seed])
    cluster.wait_for(lambda: _open_links(cluster), "the links of the proxy")


def _open_links(cluster):
    get(cluster.layout.proxy_control, "/admin/links")
    post(cluster.layout.proxy_control, "/admin/links", [
        {"name": it.id, "listen": it.link, "target": it.address}
        for it in cluster.layout.servers])
    _apply_rules(cluster)
    return ""


def _apply_rules(cluster):
    """Rules replace each other as a whole."""
    # Nodes connect from any loopback address, so the latency between zones
    # counts on every link, also within a zone.
    rules = [{"link": "*", "delay_ms":
              cluster.layout.deployment.zone_latency_ms}]
    for server, heal in cluster.cut_servers.items():
        ip = server.address.split(":")[0]
        cut = {"drop": "both", "heal": heal}
        rules.append({"link": server.id, "source": "*"} | cut)
        # What the server opens itself, to pull from its primary.
        rules.append({"link": "*", "source": ip} | cut)
    post(cluster.layout.proxy_control, "/admin/rules", rules)


def cut(cluster, server):
    """Nothing reaches the server or leaves it.

    After every other heal the bytes that were held arrive late; after the rest
    their connections break.
    """
    heal = "resume" if len(cluster.cuts_made) % 2 else "reset"
    cluster.cuts_made.append(server.id)
    cluster.cut_servers[server] = heal
    _apply_rules(cluster)


def heal(cluster, server):
    del cluster.cut_servers[server]
    _apply_rules(cluster)
