//! Tasks beside the path of requests.

pub mod load;
