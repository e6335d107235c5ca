//! Allocation of free blocks of loopback ports.

use std::net::{TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// Number of ports of a cluster.
const PORTS_PER_BLOCK: u16 = 40;
/// First port of the first block. The blocks are below the kernel's ephemeral range for outgoing connections.
const FIRST_PORT: u16 = 20_000;
const BLOCK_COUNT: u16 = 290;

/// Number of blocks that this process has tried.
static TRIED_BLOCKS: AtomicU16 = AtomicU16::new(0);

/// Returns the first port of a block whose ports can all be bound over TCP and UDP.
///
/// The search starts at a block that depends on the process ID and goes on after the blocks that were already tried.
pub fn free_block() -> u16 {
    let offset = std::process::id() as u16 % BLOCK_COUNT;
    for _ in 0..BLOCK_COUNT {
        let block = (offset + TRIED_BLOCKS.fetch_add(1, Ordering::Relaxed)) % BLOCK_COUNT;
        let first = FIRST_PORT + block * PORTS_PER_BLOCK;
        if (first..first + PORTS_PER_BLOCK).all(is_free) {
            return first;
        }
    }
    panic!("no free block of {PORTS_PER_BLOCK} loopback ports");
}

fn is_free(port: u16) -> bool {
    TcpListener::bind(("127.0.0.1", port)).is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok()
}
