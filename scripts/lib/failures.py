"""Cuts primaries off and heals them, group after group."""

import dataclasses
import time

# A cut is healed this long after the new primary was seen, so that the old one
# stays away while the new one serves.
HOLD_AFTER_PROMOTION_S = 2.0
# A cut is healed at the latest now, before the group's next turn.
LONGEST_CUT_S = 9.0
POLL_S = 0.25


@dataclasses.dataclass
class Cut:
    server: object
    term: int
    began: float
    promoted: float = 0.0


def _is_over(cluster, cut, now):
    if not cut.promoted and cluster.primary(cut.server.group)[0] > cut.term:
        cut.promoted = now
    promoted_long_ago = (cut.promoted and
                         now - cut.promoted >= HOLD_AFTER_PROMOTION_S)
    return promoted_long_ago or now - cut.began >= LONGEST_CUT_S


def run_failures(cluster, count, spacing_s, before_s=3.0):
    """Cuts the primaries of the groups in turn; returns when all are healed."""
    groups = list(cluster.layout.groups())
    start = time.monotonic() + before_s
    made = 0
    active = []
    while made < count or active:
        now = time.monotonic()
        if made < count and now >= start + made * spacing_s:
            term, server = cluster.primary(groups[made % len(groups)])
            cluster.cut(server)
            active.append(Cut(server, term, time.monotonic()))
            made += 1
        for cut in list(active):
            if _is_over(cluster, cut, time.monotonic()):
                cluster.heal(cut.server)
                active.remove(cut)
        cluster.processes.check_alive()
        time.sleep(POLL_S)


def longest_duration_s(count, spacing_s, before_s=3.0):
    """How long run_failures can take."""
    return before_s + (count - 1) * spacing_s + LONGEST_CUT_S
