"""Prints the configuration of Birrete Sistemas: python3 birrete.py > birrete.ini"""

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

DOMAINS = ["cordoba-a", "rosario-a", "mendoza-a"]


def members(pool: str, count: int, network: int, capacity: int) -> list[Upstream]:
    """Returns `count` upstreams of a pool, assigned to the failure domains in turn."""
    return [
        Upstream(
            name=f"{pool}-{number + 1}",
            pool=pool,
            domain=DOMAINS[number % len(DOMAINS)],
            address=f"10.{number % len(DOMAINS) + 1}.{network}.{number + 1}:9000",
            capacity=capacity,
        )
        for number in range(count)
    ]


birrete = Deployment(
    name="birrete",
    # Deadlines weigh more than prices: after a late answer, buyers abandon the checkout.
    attainment=20_000,
    cost=1,
    domains=[Domain(name, region=name.removesuffix("-a")) for name in DOMAINS],
    links=[
        Link("cordoba", "rosario", price=9_000, latency_ms=9),
        Link("cordoba", "mendoza", price=11_000, latency_ms=12),
        Link("mendoza", "rosario", price=14_000, latency_ms=18),
    ],
    pools=[
        Pool("assistant", "engine", price=900, fencing="checked"),
        Pool("embedder", "encoder", price=10),
        Pool("seat-search", "retriever", price=15),
        Pool("ranker", "reranker", price=40),
        Pool("ticket-sales", "service", price=5, keys="honoured"),
        Pool("organiser-dashboard", "service", price=5),
        Pool("family-notices", "service", price=5),
        Pool("venue-catalogue", "service", price=5),
    ],
    upstreams=[
        *members("assistant", 12, network=1, capacity=32),
        *members("embedder", 3, network=2, capacity=64),
        *members("seat-search", 3, network=3, capacity=64),
        *members("ranker", 3, network=4, capacity=32),
        *members("ticket-sales", 3, network=5, capacity=128),
        *members("organiser-dashboard", 5, network=6, capacity=64),
        *members("family-notices", 5, network=7, capacity=64),
        *members("venue-catalogue", 5, network=8, capacity=64),
    ],
    pipelines=[
        Pipeline(
            "seating",
            deadline_ms=10_000,
            stages=[
                Stage("encode", "embedder", "idempotent"),
                Stage("search", "seat-search", "idempotent"),
                Stage("rank", "ranker", "idempotent", skip=True),
                Stage(
                    "answer",
                    "assistant",
                    "idempotent",
                    model="asistente-8b",
                    tokens=300,
                    shorten=80,
                ),
            ],
        ),
        Pipeline(
            "dress-code",
            deadline_ms=6_000,
            stages=[
                Stage("encode", "embedder", "idempotent"),
                Stage("search", "seat-search", "idempotent"),
                Stage("answer", "assistant", "idempotent", model="asistente-8b", tokens=120),
            ],
        ),
    ],
    services=[
        Service("ticket-sales", 4_000, "non-idempotent"),
        Service("organiser-dashboard", 8_000, "idempotent"),
        Service("family-notices", 8_000, "non-idempotent"),
        Service("venue-catalogue", 3_000, "idempotent"),
    ],
    customers=[
        Customer("graduacion-sur", rate=40, burst=80),
        Customer("colegio-del-norte", rate=30, burst=60),
        Customer("fiesta-mendoza", rate=6, burst=12),
        Customer("egresados-rosario", rate=4, burst=8, targets=["seating", "ticket-sales"]),
        Customer("salon-las-rosas", rate=0.5, burst=4, targets=["venue-catalogue"]),
    ],
)

if __name__ == "__main__":
    sys.stdout.reconfigure(encoding="utf-8")
    sys.stdout.write(str(birrete))
