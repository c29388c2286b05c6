//! Section `[prices]`: prices where a link or pool names none.

use basilgrade_types::price;

use crate::limits;
use crate::model::pool;
use crate::parse::headers;
use crate::reader;
use crate::section;
use crate::source;
use crate::value;

/// Default prices.
#[derive(Debug, Default)]
pub(super) struct Prices {
    /// Of 1 MiB over a link.
    pub(super) link: Option<price::Price>,
    calls: Vec<(pool::Kind, price::Price)>,
}

impl Prices {
    /// Of one call to a pool.
    pub(super) fn call(&self, kind: pool::Kind) -> Option<price::Price> {
        self.calls
            .iter()
            .find(|(found, _)| *found == kind)
            .map(|(_, price)| *price)
    }
}

/// A price.
pub(super) fn price(text: &str) -> Result<price::Price, value::Expected> {
    value::bounded(price::Price(0)..=price::Price(limits::PRICE))(text)
}

pub(super) fn read(sections: &[section::Section], source: &mut source::Source) -> Prices {
    let mut prices = Prices::default();
    let Some(section) = headers::of(sections, "prices").next() else {
        return prices;
    };
    let mut reader = reader::Reader::new(section, source);
    prices.link = reader.optional("link", price);
    for kind in [
        pool::Kind::Encoder,
        pool::Kind::Engine,
        pool::Kind::Reranker,
        pool::Kind::Retriever,
        pool::Kind::Service,
    ] {
        let found = reader.optional(kind.as_str(), price);
        prices.calls.extend(found.map(|price| (kind, price)));
    }
    reader.finish();
    prices
}
