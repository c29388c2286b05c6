//! Shape of a simulated deployment.

/// Number of failure domains, and number of daemons in each of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct DeploymentShape {
    pub(crate) domains: usize,
    pub(crate) size: usize,
}

impl DeploymentShape {
    pub(crate) const fn new(domains: usize, size: usize) -> Self {
        Self { domains, size }
    }

    pub(crate) const fn daemons(self) -> usize {
        self.domains * self.size
    }
}
