//! Those who come to this dispatcher: clients, runners with call-backs, operators.

pub mod clients;
pub mod operations;
pub mod operators;
