//! Tests of parsing request headers and paths.

use basilgrade_server::caller::head;
use basilgrade_server::caller::target;
use hyper::header;
use proptest::prelude::*;

const HEADER_NAMES: [&str; 5] = [
    head::CUSTOMER,
    head::DEADLINE,
    head::IDEMPOTENT,
    head::KEY,
    "accept",
];

fn fixed_seed(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: prop::test_runner::RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed(21))]

    /// Guards against panics, and against errors that do not name the header, for arbitrary header
    /// values.
    #[test]
    fn headers_are_parsed_or_named_in_the_error(
        values in prop::collection::vec((0..HEADER_NAMES.len(), prop::collection::vec(any::<u8>(), 0..80)), 0..8),
    ) {
        let mut headers = hyper::HeaderMap::new();
        for (name, value) in &values {
            if let Ok(value) = header::HeaderValue::from_bytes(value) {
                headers.append(HEADER_NAMES[*name], value);
            }
        }
        if let Err(failure) = head::Head::parse(&headers) {
            let text = failure.to_string();
            prop_assert!(HEADER_NAMES.iter().any(|name| text.contains(name)), "{text}");
            prop_assert!(text.len() < 400);
        }
    }

    /// Guards against panics for arbitrary paths.
    #[test]
    fn paths_are_parsed_without_panic(path in "/[ -~]{0,60}") {
        if let Ok(uri) = path.parse::<hyper::Uri>() {
            target::Target::parse(&uri);
        }
    }
}
