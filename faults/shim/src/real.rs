//! Lookup of the C library functions that the shim replaces.

use std::ffi::{CStr, c_void};

/// Returns the definition of a function that follows the shim's own in symbol lookup order.
pub fn next_definition(name: &CStr) -> *mut c_void {
    // SAFETY: `name` is a C string; callers use the result only with the type of that function.
    let symbol = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    if symbol.is_null() {
        // The process cannot continue without its C library.
        std::process::abort();
    }
    symbol
}

/// Evaluates to the real function of this name and type, which is looked up once.
macro_rules! real {
    ($name:ident: fn($($argument:ty),*) -> $result:ty) => {{
        static FOUND: std::sync::atomic::AtomicPtr<std::ffi::c_void> =
            std::sync::atomic::AtomicPtr::new(std::ptr::null_mut());
        let mut found = FOUND.load(std::sync::atomic::Ordering::Relaxed);
        if found.is_null() {
            found = $crate::real::next_definition(
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
