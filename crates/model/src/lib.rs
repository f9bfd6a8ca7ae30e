//! Model checking of dragonflywall's core protocols, exhaustive at small bounds.
//!
//! [`checker`] checks any [`checker::Specification`] against all states that it can reach. There are
//! five specifications:
//!
//! - [`publish`]: operators commit configuration versions.
//! - [`distribution`]: nodes receive and enforce versions, and never go back to an older one.
//! - [`request`]: a request is forwarded to a backend server, and its outcome is reported.
//! - [`crashes`]: a request that ends backend servers is withheld.
//! - [`rollout`]: leads decide on the state of a roll-out.
//!
//! They call the product's own code where possible: [`configurations`] applies real configurations
//! through the product's holder, and [`operator`] runs the product's `publish`.

pub mod checker;
pub mod configurations;
pub mod crashes;
pub mod distribution;
pub mod operator;
pub mod publish;
pub mod request;
pub mod rollout;
