//! Tasks beside the path of requests.

pub mod load;
pub mod reader;
