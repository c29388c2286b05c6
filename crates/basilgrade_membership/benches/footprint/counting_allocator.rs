//! An allocator that counts the bytes in use.

use std::alloc;
use std::sync::atomic;

static BYTES_IN_USE: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// The system allocator with a count.
pub(crate) struct CountingAllocator;

/// Heap bytes in use.
pub(crate) fn bytes_in_use() -> usize {
    BYTES_IN_USE.load(atomic::Ordering::Relaxed)
}

#[expect(
    unsafe_code,
    reason = "a global allocator cannot be written without it; it only counts and passes on"
)]
// SAFETY: every call is passed on unchanged to the system allocator.
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
