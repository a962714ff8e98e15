//! Error numbers that Linux documents for the system calls in a plan, by symbolic name.

use serde::{Deserialize, Serialize};

/// An error number that a plan may use; serialized as its symbolic name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Errno(i32);

/// The symbolic names that a plan may use, with their values on this platform.
const SUPPORTED: [(&str, i32); 19] = [
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("EAGAIN", libc::EAGAIN),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNREFUSED", libc::ECONNREFUSED),
    ("ECONNRESET", libc::ECONNRESET),
    ("EDQUOT", libc::EDQUOT),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EINTR", libc::EINTR),
    ("EIO", libc::EIO),
    ("EMFILE", libc::EMFILE),
    ("ENETDOWN", libc::ENETDOWN),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("ENOSPC", libc::ENOSPC),
    ("EPROTO", libc::EPROTO),
    ("EROFS", libc::EROFS),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

impl Errno {
    /// Returns the error with this symbolic name, or `None` if a plan may not use it.
    pub fn named(name: &str) -> Option<Errno> {
        SUPPORTED.iter().find(|(supported, _)| *supported == name).map(|(_, code)| Errno(*code))
    }

    /// The value of `errno`.
    pub fn code(self) -> i32 {
        self.0
    }

    /// The symbolic name, such as `ENFILE`.
    pub fn name(self) -> &'static str {
        SUPPORTED.iter().find(|(_, code)| *code == self.0).map_or("?", |(name, _)| name)
    }
}

impl TryFrom<String> for Errno {
    type Error = String;

    fn try_from(name: String) -> Result<Errno, String> {
        Errno::named(&name).ok_or_else(|| format!("unknown errno `{name}`"))
    }
}

impl From<Errno> for String {
    fn from(errno: Errno) -> String {
        errno.name().to_owned()
    }
}
