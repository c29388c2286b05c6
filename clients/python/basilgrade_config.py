"""Builds a basilgrade configuration and prints it for `basilctl check` and `basilctl publish`.

This library checks only the syntax of names and rejects control characters in values;
`basilctl check` reports all other errors. docs/configuration.md describes the keys, their units and
their defaults.
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

_NAME_PATTERN = re.compile(r"[\w.-]{1,64}")


@dataclass(frozen=True)
class Domain:
    """A failure domain and the region that contains it."""

    name: str
    region: str

    def sections(self) -> Iterator[Section]:
        yield f"domain {_name(self.name)}", [("region", self.region)]


@dataclass(frozen=True)
class Link:
    """A network link between two regions; price and latency apply to both directions.

    `price` is the price of 1 MiB in millionths of the currency; `latency_ms` is the one-way latency
    in milliseconds.
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
    """A group of interchangeable upstreams.

    `price` is the price of one call in millionths of the currency. `slots` is the number of models
    that one engine can hold at once; it may be set for pools of engines only.
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
    """One member of a pool.

    `address` has the form `IP:PORT`; `capacity` is the number of calls that the upstream can
    process concurrently.
    """

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
    """A model that is loaded on engines of a pool.

    `version` is the version to serve; `least` is the minimum number of replicas in each failure
    domain that has engines of the pool.
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
    """A stage of a pipeline.

    `model` and `tokens` are required for pools of engines and not allowed for other pools.

    At most one of `shorten` (a number of tokens), `skip` and `substitute` (the name of a pool) may
    be set; it defines how the stage may be degraded if the remaining time is too short.
    `substitute_model` is the model requested from the substitute pool; the default is `model`.
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
        candidates: list[tuple[str, Optional[Value]]] = [
            ("pool", self.pool),
            ("model", self.model),
            ("tokens", self.tokens),
            ("idempotency", self.idempotency),
            ("shorten", self.shorten),
            ("skip", "true" if self.skip else None),
            ("substitute", self.substitute),
            ("substitute-model", self.substitute_model),
        ]
        keys = [(key, value) for key, value in candidates if value is not None]
        return f"stage {_name(pipeline)} {_name(self.name)}", keys


@dataclass(frozen=True)
class Pipeline:
    """A sequence of stages that share one deadline."""

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
    """A plain service that is served by the pool of the same name."""

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
    """A customer and its quota.

    `rate` is in requests per second; `burst` is the number of requests that may exceed the rate at
    once. `targets` lists the pipelines and services that the customer may use; an empty list
    permits all of them.
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
    """A whole configuration; `str()` returns the text to publish.

    `attainment` is the cost of one missed deadline in millionths of the currency; `cost` is the
    factor by which prices of calls and traffic are multiplied.
    """

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
        """Yields all sections in canonical order."""
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
        """Returns the canonical text of the configuration, in the form that `basilctl` prints."""
        return "\n".join(_format_section(header, keys) for header, keys in self.sections())


def _format_section(header: str, keys: list[tuple[str, Value]]) -> str:
    for key, value in keys:
        # The text after a line break in a value would be parsed as a separate key or section.
        if not str(value).isprintable():
            raise ValueError(f"`{key}` of [{header}] is {value!r}; expected printable text")
    lines = [f"[{header}]", *(f"{key} = {value}" for key, value in keys)]
    return "\n".join(lines) + "\n"


def _name(text: str) -> str:
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError(f"`{text}` is not a name; use 1 to 64 letters, digits, `-`, `_` or `.`")
    return text


def _millis(duration_ms: int) -> str:
    return f"{duration_ms}ms"


def _number(value: float) -> str:
    return str(int(value)) if value == int(value) else repr(value)
