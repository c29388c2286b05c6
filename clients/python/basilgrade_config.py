"""Builds a basilgrade configuration and prints it for `basilctl check` and `basilctl publish`.

Only the form of values is checked here; `basilctl check` reports everything else. The keys, their
units and their defaults are described in docs/configuration.md.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Literal, Optional, Union

Kind = Literal["encoder", "engine", "reranker", "retriever", "service"]
Idempotency = Literal["idempotent", "non-idempotent"]
Value = Union[str, int, float]
Section = tuple[str, list[tuple[str, Value]]]

_NAME = re.compile(r"[\w.-]{1,64}")


@dataclass(frozen=True)
class Domain:
    """A failure domain and the region it lies in."""

    name: str
    region: str

    def sections(self) -> Iterator[Section]:
        yield f"domain {_name(self.name)}", [("region", self.region)]


@dataclass(frozen=True)
class Link:
    """A link between two regions, in both directions.

    `price` is for 1 MiB, in millionths of the currency; `latency_ms` is one-way.
    """

    one: str
    other: str
    price: int
    latency_ms: int

    def sections(self) -> Iterator[Section]:
        ends = sorted([_name(self.one), _name(self.other)])
        yield f"link {ends[0]} {ends[1]}", [
            ("price", self.price),
            ("latency", _millis(self.latency_ms)),
        ]


@dataclass(frozen=True)
class Pool:
    """Upstreams that can stand in for each other; `price` is for one call, in millionths.

    `slots` is the number of models that one engine can hold; it is for pools of engines only.
    """

    name: str
    kind: Kind
    price: int
    fencing: Literal["checked", "ignored"] = "ignored"
    keys: Literal["honoured", "ignored"] = "ignored"
    slots: int = 1

    def sections(self) -> Iterator[Section]:
        keys: list[tuple[str, Value]] = [
            ("kind", self.kind),
            ("fencing", self.fencing),
            ("keys", self.keys),
        ]
        if self.kind == "engine" or self.slots != 1:
            keys.append(("slots", self.slots))
        keys.append(("price", self.price))
        yield f"pool {_name(self.name)}", keys


@dataclass(frozen=True)
class Upstream:
    """One member of a pool; `address` is `IP:PORT`, `capacity` counts calls at once."""

    name: str
    pool: str
    domain: str
    address: str
    capacity: int

    def sections(self) -> Iterator[Section]:
        yield f"upstream {_name(self.name)}", [
            ("pool", self.pool),
            ("domain", self.domain),
            ("address", self.address),
            ("capacity", self.capacity),
        ]


@dataclass(frozen=True)
class Model:
    """A model that is placed on the engines of a pool.

    `version` is the version to serve; `least` counts replicas in each failure domain.
    """

    name: str
    pool: str
    version: Optional[str] = None
    least: int = 1

    def sections(self) -> Iterator[Section]:
        keys: list[tuple[str, Value]] = [("pool", self.pool)]
        if self.version is not None:
            keys.append(("version", self.version))
        keys.append(("least", self.least))
        yield f"model {_name(self.name)}", keys


@dataclass(frozen=True)
class Stage:
    """A stage of a pipeline; `model` and `tokens` are for pools of engines only.

    At most one of `shorten` (tokens), `skip` and `substitute` (a pool) says how the stage may be
    degraded when time runs out. `substitute_model` is the model that the substitute pool is asked
    for, if it is not `model`.
    """

    name: str
    pool: str
    idempotency: Idempotency
    model: Optional[str] = None
    tokens: Optional[int] = None
    shorten: Optional[int] = None
    skip: bool = False
    substitute: Optional[str] = None
    substitute_model: Optional[str] = None

    def section(self, pipeline: str) -> Section:
        optional: list[tuple[str, Optional[Value]]] = [
            ("pool", self.pool),
            ("model", self.model),
            ("tokens", self.tokens),
            ("idempotency", self.idempotency),
            ("shorten", self.shorten),
            ("skip", "true" if self.skip else None),
            ("substitute", self.substitute),
            ("substitute-model", self.substitute_model),
        ]
        keys = [(key, value) for key, value in optional if value is not None]
        return f"stage {_name(pipeline)} {_name(self.name)}", keys


@dataclass(frozen=True)
class Pipeline:
    """Stages that run one after another under one deadline."""

    name: str
    deadline_ms: int
    stages: list[Stage]

    def sections(self) -> Iterator[Section]:
        yield f"pipeline {_name(self.name)}", [
            ("deadline", _millis(self.deadline_ms)),
            ("stages", ", ".join(stage.name for stage in self.stages)),
        ]
        for stage in self.stages:
            yield stage.section(self.name)


@dataclass(frozen=True)
class Service:
    """A plain service, served by the pool of the same name."""

    pool: str
    deadline_ms: int
    idempotency: Idempotency

    def sections(self) -> Iterator[Section]:
        yield f"service {_name(self.pool)}", [
            ("deadline", _millis(self.deadline_ms)),
            ("idempotency", self.idempotency),
        ]


@dataclass(frozen=True)
class Customer:
    """A customer: requests per second, requests above the rate at once, and what it may use.

    An empty list of targets permits all pipelines and services.
    """

    name: str
    rate: float
    burst: int
    targets: list[str] = field(default_factory=list)

    def sections(self) -> Iterator[Section]:
        keys: list[tuple[str, Value]] = [("rate", f"{_number(self.rate)}/s"), ("burst", self.burst)]
        if self.targets:
            keys.append(("targets", ", ".join(self.targets)))
        yield f"customer {_name(self.name)}", keys


@dataclass
class Deployment:
    """A whole configuration; `str()` gives the text to publish."""

    name: str
    attainment: float = 1000.0
    cost: float = 1.0
    domains: list[Domain] = field(default_factory=list)
    links: list[Link] = field(default_factory=list)
    pools: list[Pool] = field(default_factory=list)
    upstreams: list[Upstream] = field(default_factory=list)
    models: list[Model] = field(default_factory=list)
    pipelines: list[Pipeline] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)
    customers: list[Customer] = field(default_factory=list)

    def sections(self) -> Iterator[Section]:
        """All sections in canonical order."""
        yield "deployment", [("name", _name(self.name))]
        yield "weights", [("attainment", _number(self.attainment)), ("cost", _number(self.cost))]
        Item = Union[Domain, Link, Pool, Upstream, Model, Pipeline, Service, Customer]
        groups: list[Iterable[Item]]
        groups = [
            sorted(self.domains, key=lambda domain: domain.name),
            sorted(self.links, key=lambda link: sorted([link.one, link.other])),
            sorted(self.pools, key=lambda pool: pool.name),
            sorted(self.upstreams, key=lambda upstream: upstream.name),
            sorted(self.models, key=lambda model: model.name),
            sorted(self.pipelines, key=lambda pipeline: pipeline.name),
            sorted(self.services, key=lambda service: service.pool),
            sorted(self.customers, key=lambda customer: customer.name),
        ]
        for group in groups:
            for item in group:
                yield from item.sections()

    def __str__(self) -> str:
        """The canonical text, as `basilctl` prints it."""
        return "\n".join(_print(header, keys) for header, keys in self.sections())


def _print(header: str, keys: list[tuple[str, Value]]) -> str:
    for key, value in keys:
        # A line break in a value would start a key or section of its own.
        if not str(value).isprintable():
            raise ValueError(f"`{key}` of [{header}] is {value!r}; expected printable text")
    lines = [f"[{header}]", *(f"{key} = {value}" for key, value in keys)]
    return "\n".join(lines) + "\n"


def _name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError(f"`{text}` is not a name; expected letters, digits, `-`, `_` or `.`")
    return text


def _millis(span: int) -> str:
    return f"{span}ms"


def _number(value: float) -> str:
    return str(int(value)) if value == int(value) else repr(value)
