//! Global allocator that counts the heap bytes in use.

use std::alloc;
use std::sync::atomic;

static BYTES_IN_USE: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// Wraps the system allocator and counts the allocated bytes.
pub(crate) struct CountingAllocator;

/// Returns the number of heap bytes in use.
pub(crate) fn bytes_in_use() -> usize {
    BYTES_IN_USE.load(atomic::Ordering::Relaxed)
}

#[expect(
    unsafe_code,
    reason = "`GlobalAlloc` is an unsafe trait; the implementation only counts and forwards calls"
)]
// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl alloc::GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: alloc::Layout) -> *mut u8 {
        BYTES_IN_USE.fetch_add(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { alloc::System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: alloc::Layout) {
        BYTES_IN_USE.fetch_sub(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { alloc::System.dealloc(pointer, layout) }
    }
}
