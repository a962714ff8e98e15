//! The one loop, its connections and what goes over them as HTTP.

pub mod connection;
pub mod dials;
pub mod errno;
pub mod http;
pub mod log;
pub mod reactor;
pub mod receive_times;
pub mod sockets;
