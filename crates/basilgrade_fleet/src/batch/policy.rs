//! Queue decisions that a deployment enables separately.

use std::str;

/// Order in which a queue serves its jobs.
///
/// In each order, jobs that are expected to miss their target go behind all others, as a late answer
/// has a fraction of the value of one in time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Order {
    /// By age, where a level of priority outweighs a fixed age.
    #[default]
    Age,
    /// By priority, then by the time left to the target.
    Strict,
    /// As [`Order::Strict`]; within a priority whose jobs exceed the next calls, those with the most
    /// time left go first. In order of age, all of them would use up in the queue the time that their
    /// later stages need.
    Adaptive,
}

impl str::FromStr for Order {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "age" => Ok(Self::Age),
            "strict" => Ok(Self::Strict),
            "adaptive" => Ok(Self::Adaptive),
            _ => Err(()),
        }
    }
}

/// Jobs that the reported wait of a priority counts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Wait {
    /// All jobs.
    #[default]
    All,
    /// Those that are expected to meet their target; new jobs precede the late ones.
    InTime,
}

impl str::FromStr for Wait {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "all" => Ok(Self::All),
            "in-time" => Ok(Self::InTime),
            _ => Err(()),
        }
    }
}

/// Use of upstreams that report to be slow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SlowUpstreams {
    /// Reports are ignored.
    #[default]
    Use,
    /// Urgent pieces are kept from them if other upstreams end these earlier.
    Avoid,
}

impl str::FromStr for SlowUpstreams {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "use" => Ok(Self::Use),
            "avoid" => Ok(Self::Avoid),
            _ => Err(()),
        }
    }
}

/// Handling of customers in a queue that is overloaded; it takes effect with all orders but that of
/// age.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Customers {
    /// They are not distinguished.
    #[default]
    Ignore,
    /// Within a priority, they take turns by pieces.
    Share,
}

impl str::FromStr for Customers {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "ignore" => Ok(Self::Ignore),
            "share" => Ok(Self::Share),
            _ => Err(()),
        }
    }
}

/// Decisions of a queue.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Policy {
    pub order: Order,
    pub customers: Customers,
    pub wait: Wait,
    pub slow_upstreams: SlowUpstreams,
    /// Jobs that cannot end in time even in the next call that can start end at once.
    pub drops_unservable: bool,
}
