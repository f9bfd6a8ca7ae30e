//! Model checking of dragonflywall's core protocols, exhaustive at small bounds.
//!
//! [`checker`] searches any [`checker::Specification`]. [`spread`] specifies how a node comes by a
//! version and never goes back; [`publish`] specifies how operators make versions;
//! [`request`] specifies a request on its way. They run the product's own code where it can be run: [`contents`]
//! applies real configurations through the product's holder, [`operator`] runs the product's
//! `publish`.

pub mod checker;
pub mod contents;
pub mod operator;
pub mod publish;
pub mod request;
pub mod spread;
