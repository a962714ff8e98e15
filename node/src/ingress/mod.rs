//! Connections that others open to this dispatcher: clients, runners with call-backs, and operators.

pub mod clients;
pub mod operations;
pub mod operators;
