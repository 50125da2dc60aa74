//! Loopback addresses that no other test process uses, so that fixed ports never collide.

use std::net;
use std::process;
use std::sync::atomic;

/// Port of a stand-in or a link.
const STANDIN_PORT: u16 = 18100;

/// Source of the addresses of one test.
#[derive(Debug)]
pub struct Addresses {
    net: [u8; 2],
    next: u8,
}

impl Addresses {
    /// Reserves a network of 255 addresses.
    pub fn reserve() -> Addresses {
        static NETWORKS: atomic::AtomicU32 = atomic::AtomicU32::new(0);
        let network = NETWORKS.fetch_add(1, atomic::Ordering::Relaxed);
        // Process ids of test processes that run at once differ in their low bits.
        let number = process::id().wrapping_mul(8).wrapping_add(network % 8) & 0x7fff;
        let [_, _, high, low] = number.to_be_bytes();
        Addresses {
            net: [high | 0x80, low],
            next: 0,
        }
    }

    /// Returns the middle bytes of every address.
    pub fn network(&self) -> [u8; 2] {
        self.net
    }

    /// Returns a fresh address.
    pub fn next_ip(&mut self) -> net::Ipv4Addr {
        self.next = self
            .next
            .checked_add(1)
            .expect("at most 255 addresses in a network");
        net::Ipv4Addr::new(127, self.net[0], self.net[1], self.next)
    }

    /// Returns a fresh address with a port.
    pub fn next_address(&mut self) -> net::SocketAddr {
        (self.next_ip(), STANDIN_PORT).into()
    }
}
