//! An allocator that counts allocations.

use std::alloc;
use std::sync::atomic;

static COUNT: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// The system allocator with a counter.
pub(crate) struct Counting;

// SAFETY: every call is passed on unchanged to the system allocator.
#[allow(unsafe_code)]
unsafe impl alloc::GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: alloc::Layout) -> *mut u8 {
        COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { alloc::GlobalAlloc::alloc(&alloc::System, layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: alloc::Layout) {
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { alloc::GlobalAlloc::dealloc(&alloc::System, pointer, layout) }
    }
}

/// Allocations so far.
pub(crate) fn count() -> u64 {
    COUNT.load(atomic::Ordering::Relaxed)
}
