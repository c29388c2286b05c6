//! What is known of a job's request beside the job, for the daemons that route and queue it.

use serde::Deserialize;
use serde::Serialize;

use crate::batch::policy;
use crate::model::allowed_regions;

/// Terms of the request that a job belongs to.
///
/// They are no fields of the job, as daemons of earlier builds decode a job by the position of its
/// fields.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobTerms {
    /// Regions whose upstreams may compute the pieces.
    pub regions: allowed_regions::AllowedRegions,
    /// Hash of the customer's name; zero if the request has no customer.
    pub customer: u64,
}

impl JobTerms {
    /// Whether the job needs no terms, so that a daemon that does not know of them may route and
    /// queue it; the customer counts only if queues distinguish `customers`.
    pub fn is_plain(&self, customers: policy::Customers) -> bool {
        let has_customer = self.customer != 0 && customers == policy::Customers::Share;
        !self.regions.is_restricted() && !has_customer
    }
}
