//! Parses section `[prices]`: default prices of links and pools.

use basilgrade_types::price;

use crate::limits;
use crate::model::pool;
use crate::parse::headers;
use crate::reader;
use crate::section;
use crate::source;
use crate::value;

/// Default prices of links and pools without a `price` key, in millionths of the currency.
#[derive(Debug, Default)]
pub(super) struct Prices {
    /// The default price of sending 1 MiB over a link.
    pub(super) link: Option<price::Price>,
    calls: Vec<(pool::Kind, price::Price)>,
}

impl Prices {
    /// Returns the default price of one call to a pool of `kind`.
    pub(super) fn call_price(&self, kind: pool::Kind) -> Option<price::Price> {
        self.calls
            .iter()
            .find(|(found, _)| *found == kind)
            .map(|(_, price)| *price)
    }
}

/// Parses a price from 0 to [`limits::PRICE`].
pub(super) fn parse_price(text: &str) -> Result<price::Price, value::Expected> {
    value::bounded(price::Price(0)..=price::Price(limits::PRICE))(text)
}

pub(super) fn read(sections: &[section::Section], source: &mut source::Source) -> Prices {
    let mut prices = Prices::default();
    let Some(section) = headers::of_kind(sections, "prices").next() else {
        return prices;
    };
    let mut reader = reader::SectionReader::new(section, source);
    prices.link = reader.optional("link", parse_price);
    for kind in [
        pool::Kind::Encoder,
        pool::Kind::Engine,
        pool::Kind::Reranker,
        pool::Kind::Retriever,
        pool::Kind::Service,
    ] {
        let found = reader.optional(kind.as_str(), parse_price);
        prices.calls.extend(found.map(|price| (kind, price)));
    }
    reader.finish();
    prices
}
