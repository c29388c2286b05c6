//! Reading of callers' headers.

use basilgrade_server::caller::head;
use basilgrade_server::caller::target;
use hyper::header;
use proptest::prelude::*;

const NAMES: [&str; 5] = [
    head::CUSTOMER,
    head::DEADLINE,
    head::IDEMPOTENT,
    head::KEY,
    "accept",
];

fn fixed(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: prop::test_runner::RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed(21))]

    /// Guards against panics and unclear errors on any header values.
    #[test]
    fn any_headers_are_read_or_named(
        values in prop::collection::vec((0..NAMES.len(), prop::collection::vec(any::<u8>(), 0..80)), 0..8),
    ) {
        let mut headers = hyper::HeaderMap::new();
        for (name, value) in &values {
            if let Ok(value) = header::HeaderValue::from_bytes(value) {
                headers.append(NAMES[*name], value);
            }
        }
        if let Err(failure) = head::Head::parse(&headers) {
            let text = failure.to_string();
            prop_assert!(NAMES.iter().any(|name| text.contains(name)), "{text}");
            prop_assert!(text.len() < 400);
        }
    }

    /// Guards against panics on any path.
    #[test]
    fn any_path_names_at_most_one_target(path in "/[ -~]{0,60}") {
        if let Ok(uri) = path.parse::<hyper::Uri>() {
            target::Target::parse(&uri);
        }
    }
}
