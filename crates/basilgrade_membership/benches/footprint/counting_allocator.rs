//! An allocator that counts the bytes in use.

use std::alloc;
use std::sync::atomic;

static IN_USE: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// Wraps the system allocator and counts the allocated bytes.
pub(crate) struct CountingAllocator;

/// Heap bytes in use.
pub(crate) fn in_use() -> usize {
    IN_USE.load(atomic::Ordering::Relaxed)
}

#[expect(
    unsafe_code,
    reason = "`GlobalAlloc` is an unsafe trait; the implementation only counts and forwards calls"
)]
// SAFETY: every call is passed on unchanged to the system allocator.
unsafe impl alloc::GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: alloc::Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { alloc::System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: alloc::Layout) {
        IN_USE.fetch_sub(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { alloc::System.dealloc(pointer, layout) }
    }
}
