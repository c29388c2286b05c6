"""Prints the configuration of Adwenkor Sound Mastering House.

Usage: python3 adwenkor.py > adwenkor.ini
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from basilgrade_config import (
    Customer,
    Deployment,
    Domain,
    Link,
    Pipeline,
    Pool,
    Service,
    Stage,
    Upstream,
)

DOMAINS = ["accra-a", "kumasi-a", "tamale-a"]


def members(pool: str, count: int, network: int, capacity: int) -> list[Upstream]:
    """Returns `count` upstreams of a pool, assigned to the failure domains in turn."""
    return [
        Upstream(
            name=f"{pool}-{number + 1}",
            pool=pool,
            domain=DOMAINS[number % len(DOMAINS)],
            address=f"10.{number % len(DOMAINS) + 21}.{network}.{number + 1}:9000",
            capacity=capacity,
        )
        for number in range(count)
    ]


adwenkor = Deployment(
    name="adwenkor",
    # Prices are weighted heavily, because traffic between regions is the largest expense.
    attainment=2_000,
    cost=4,
    domains=[Domain(name, region=name.removesuffix("-a")) for name in DOMAINS],
    links=[
        Link("accra", "kumasi", price=30_000, latency_ms=8),
        Link("accra", "tamale", price=60_000, latency_ms=17),
        Link("kumasi", "tamale", price=50_000, latency_ms=12),
    ],
    pools=[
        Pool("reviewer", "engine", price=2_400, fencing="ignored"),
        Pool("commentator", "engine", price=700, fencing="ignored"),
        Pool("stem-encoder", "encoder", price=60),
        Pool("session-search", "retriever", price=20),
        Pool("take-ranker", "reranker", price=50),
        Pool("bookings", "service", price=5),
        Pool("stem-intake", "service", price=5),
        Pool("client-portal", "service", price=5),
        Pool("pressing-dispatch", "service", price=5),
    ],
    upstreams=[
        *members("reviewer", 12, network=1, capacity=24),
        *members("commentator", 6, network=2, capacity=48),
        *members("stem-encoder", 3, network=3, capacity=32),
        *members("session-search", 3, network=4, capacity=64),
        *members("take-ranker", 3, network=5, capacity=32),
        *members("bookings", 3, network=6, capacity=64),
        *members("stem-intake", 5, network=7, capacity=16),
        *members("client-portal", 5, network=8, capacity=64),
        *members("pressing-dispatch", 5, network=9, capacity=32),
    ],
    pipelines=[
        Pipeline(
            "session-review",
            deadline_ms=60_000,
            stages=[
                Stage("encode", "stem-encoder", "idempotent"),
                Stage("search", "session-search", "idempotent"),
                Stage("rank", "take-ranker", "idempotent", skip=True),
                Stage(
                    "review",
                    "reviewer",
                    "idempotent",
                    model="reviewer-70b",
                    tokens=1_800,
                    shorten=900,
                ),
            ],
        ),
        Pipeline(
            "loudness-note",
            deadline_ms=8_000,
            stages=[
                Stage("encode", "stem-encoder", "idempotent"),
                Stage(
                    "note",
                    "reviewer",
                    "idempotent",
                    model="reviewer-70b",
                    tokens=120,
                    substitute="commentator",
                    substitute_model="commentator-8b",
                ),
            ],
        ),
        Pipeline(
            "running-commentary",
            deadline_ms=20_000,
            stages=[
                Stage("encode", "stem-encoder", "idempotent"),
                Stage("comment", "commentator", "idempotent", model="commentator-8b", tokens=600),
            ],
        ),
    ],
    services=[
        Service("bookings", 5_000, "non-idempotent"),
        Service("stem-intake", 30_000, "non-idempotent"),
        Service("client-portal", 8_000, "idempotent"),
        Service("pressing-dispatch", 10_000, "non-idempotent"),
    ],
    customers=[
        Customer("highlife-archive", rate=20, burst=40),
        Customer("harbour-records", rate=16, burst=32),
        Customer("kente-sound", rate=3, burst=6),
        Customer("northern-choir", rate=1.5, burst=4, targets=["session-review", "stem-intake"]),
        Customer("studio-osu", rate=0.5, burst=2, targets=["loudness-note", "bookings"]),
    ],
)

if __name__ == "__main__":
    sys.stdout.reconfigure(encoding="utf-8")
    sys.stdout.write(str(adwenkor))
