//! The event loop, its sockets and connections, HTTP messages, and the log. What is sent over a connection,
//! and what an answer means, is decided by its owner in `ingress`, `upstream` or `lifecycle`.

pub mod connection;
pub mod dials;
pub mod errno;
pub mod http;
pub mod log;
pub mod memory;
pub mod reactor;
pub mod receive_times;
pub mod request_progress;
pub mod sockets;
