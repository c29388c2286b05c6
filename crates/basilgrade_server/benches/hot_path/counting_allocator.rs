//! Global allocator that counts allocations.

use std::alloc;
use std::sync::atomic;

static COUNT: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// The system allocator with an allocation counter.
pub(crate) struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to the system allocator.
#[allow(unsafe_code)]
unsafe impl alloc::GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: alloc::Layout) -> *mut u8 {
        COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { alloc::GlobalAlloc::alloc(&alloc::System, layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: alloc::Layout) {
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { alloc::GlobalAlloc::dealloc(&alloc::System, pointer, layout) }
    }
}

/// Number of allocations so far.
pub(crate) fn count() -> u64 {
    COUNT.load(atomic::Ordering::Relaxed)
}
