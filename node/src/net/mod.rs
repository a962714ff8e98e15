//! The event loop, its sockets and connections, HTTP messages, and the log.

pub mod connection;
pub mod dials;
pub mod errno;
pub mod http;
pub mod log;
pub mod reactor;
pub mod receive_times;
pub mod sockets;
