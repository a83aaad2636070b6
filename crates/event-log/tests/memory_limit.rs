//! Limits the memory that reading damaged columnar segments allocates.

use bytes::Bytes;
use runloom_event_log::columns;
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Largest single allocation that reading a file of less than 2 KiB may make, in bytes.
const MAX_ALLOCATION: usize = 1 << 20;

/// A columnar file that an earlier build wrote, without a checksum.
const WITHOUT_CHECKSUM: &[u8] = include_bytes!("../src/tests/fixtures/without_checksum.parquet");

/// The largest integers of Thrift's compact protocol (zigzag varints): 2^31 - 1 and 2^24.
const LARGE_INTEGERS: [&[u8]; 2] = [&[0xfe, 0xff, 0xff, 0xff, 0x0f], &[0x80, 0x80, 0x80, 0x10]];

/// The system's allocator, which also records the size of the largest allocation.
struct RecordingAllocator;

/// Size in bytes of the largest allocation since the last reset.
static LARGEST_ALLOCATION: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all calls are passed on to the system's allocator.
unsafe impl GlobalAlloc for RecordingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LARGEST_ALLOCATION.fetch_max(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        LARGEST_ALLOCATION.fetch_max(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc_zeroed(layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        LARGEST_ALLOCATION.fetch_max(new_size, Ordering::Relaxed);
        unsafe { System.realloc(pointer, layout, new_size) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: RecordingAllocator = RecordingAllocator;

/// Returns the file with `width` bytes at `position` replaced.
fn damage(position: usize, width: usize, replacement: &[u8]) -> Vec<u8> {
    let mut damaged = WITHOUT_CHECKSUM.to_vec();
    let end = (position + width).min(damaged.len());
    damaged.splice(position..end, replacement.iter().copied());
    damaged
}

/// Guards against a damaged length in a file without a checksum that makes the reader allocate gigabytes.
#[test]
fn damaged_lengths_allocate_little_memory() {
    for position in 0..WITHOUT_CHECKSUM.len() {
        for integer in LARGE_INTEGERS {
            // A length takes one or two bytes in this file.
            for width in [1, 2, integer.len()] {
                LARGEST_ALLOCATION.store(0, Ordering::Relaxed);
                let _ = columns::read(Bytes::from(damage(position, width, integer)));
                let largest = LARGEST_ALLOCATION.load(Ordering::Relaxed);
                assert!(largest <= MAX_ALLOCATION, "{largest} bytes at {position}");
            }
        }
    }
}
