//! Configuration and settings texts used by several tests.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only some of these functions"
)]

/// Returns a small valid configuration, in which `[pool assistant]` is on line 13.
pub fn deployment() -> String {
    "\
[deployment]
name = birrete

[domain cordoba-a]
region = cordoba
[domain rosario-a]
region = rosario

[link cordoba rosario]
price = 90
latency = 9ms

[pool assistant]
kind = engine
fencing = checked
price = 400
[pool ticket-sales]
kind = service
price = 10

[upstream assistant-1]
pool = assistant
domain = cordoba-a
address = 10.0.1.1:9000
capacity = 32
[upstream ticket-sales-1]
pool = ticket-sales
domain = rosario-a
address = 10.0.2.1:9000
capacity = 8

[pipeline seating]
deadline = 10s
stages = answer
[stage seating answer]
pool = assistant
model = asistente-8b
tokens = 300
idempotency = idempotent
shorten = 80

[service ticket-sales]
deadline = 4s
idempotency = non-idempotent

[customer graduacion-sur]
rate = 40/s
burst = 80
targets = seating, ticket-sales
"
    .to_owned()
}

/// Returns the text of [`deployment`] with two placed models, one of them with a version.
pub fn placed() -> String {
    deployment().replace("price = 400", "price = 400\nslots = 2")
        + "\
[model asistente-8b]
pool = assistant
version = v2
[model asistente-8b.mini]
pool = assistant
least = 0
"
}

/// Returns valid settings without optional keys.
pub fn settings() -> String {
    "\
[process]
vm = vm-1
domain = cordoba-a
caller-address = 127.0.0.1:8080
peer-address = 127.0.0.1:8081
admin-address = 127.0.0.1:8082
[platform]
address = 127.0.0.1:9000
[peers]
secret = 0123456789abcdef
"
    .to_owned()
}
