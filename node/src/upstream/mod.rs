//! Connections that this dispatcher opens: to runners, and to service discovery for the roster.

pub mod membership;
pub mod object_scanner;
pub mod roster;
pub mod runners;
