//! The functions of the C library that the shim stands in front of.

use std::ffi::{CStr, c_void};

/// Looks up the next definition of a function after the shim's own.
pub fn next(name: &CStr) -> *mut c_void {
    // SAFETY: a lookup by name; the result is only called with the type of that function.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    if found.is_null() {
        // Nothing of this process can go on without its C library.
        std::process::abort();
    }
    found
}

/// The real function of this name and type, looked up once.
macro_rules! real {
    ($name:ident: fn($($argument:ty),*) -> $result:ty) => {{
        static FOUND: std::sync::atomic::AtomicPtr<std::ffi::c_void> =
            std::sync::atomic::AtomicPtr::new(std::ptr::null_mut());
        let mut found = FOUND.load(std::sync::atomic::Ordering::Relaxed);
        if found.is_null() {
            found = $crate::real::next(
                std::ffi::CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes())
                    .unwrap_or_default(),
            );
            FOUND.store(found, std::sync::atomic::Ordering::Relaxed);
        }
        // SAFETY: the function of that name in the C library has this type.
        unsafe {
            std::mem::transmute::<*mut std::ffi::c_void, unsafe extern "C" fn($($argument),*) -> $result>(found)
        }
    }};
}
pub(crate) use real;
