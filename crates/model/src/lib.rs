//! Model checking of dragonflywall's core protocols, exhaustive at small bounds.
//!
//! [`checker`] searches any [`checker::Specification`]. [`distribution`] specifies how a node comes by a
//! version and never goes back; [`publish`] specifies how operators make versions;
//! [`request`] specifies a request on its way. They run the product's own code where it can be run: [`configurations`]
//! applies real configurations through the product's holder, [`operator`] runs the product's
//! `publish`.

pub mod checker;
pub mod configurations;
pub mod distribution;
pub mod operator;
pub mod publish;
pub mod request;
