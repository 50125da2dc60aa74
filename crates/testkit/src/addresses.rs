//! Allocates loopback addresses that no other test uses, so that tests can use fixed ports.

use std::net;
use std::process;
use std::sync::atomic;

/// Port at which stand-ins and links listen.
const STANDIN_PORT: u16 = 18100;
/// Port at which a listener reserves a /24 network.
const LOCK_PORT: u16 = 18099;
/// Number of /24 networks from 127.128.0.0 to 127.255.255.0.
const NETWORKS_COUNT: u32 = 0x8000;

/// Allocates the addresses of one test from a /24 network.
#[derive(Debug)]
pub struct Addresses {
    net: [u8; 2],
    next: u8,
    /// Reserves the network, also against tests in other processes.
    _lock: net::TcpListener,
}

impl Addresses {
    /// Reserves a network of 254 addresses until the value is dropped.
    pub fn reserve() -> Addresses {
        static NETWORKS: atomic::AtomicU32 = atomic::AtomicU32::new(0);
        // Concurrent test processes have ids that differ in their low bits.
        let first = process::id().wrapping_mul(8);
        for _ in 0..NETWORKS_COUNT {
            let network = NETWORKS.fetch_add(1, atomic::Ordering::Relaxed);
            let number = first.wrapping_add(network) % NETWORKS_COUNT;
            let [_, _, high, low] = number.to_be_bytes();
            let net = [high | 0x80, low];
            let lock = net::Ipv4Addr::new(127, net[0], net[1], u8::MAX);
            if let Ok(lock) = net::TcpListener::bind((lock, LOCK_PORT)) {
                return Addresses {
                    net,
                    next: 0,
                    _lock: lock,
                };
            }
        }
        panic!("all {NETWORKS_COUNT} networks are in use");
    }

    /// Returns the second and third byte of all addresses of the network.
    pub fn network(&self) -> [u8; 2] {
        self.net
    }

    /// Returns an unused IP address.
    pub fn next_ip(&mut self) -> net::Ipv4Addr {
        self.next = self
            .next
            .checked_add(1)
            .filter(|next| *next < u8::MAX)
            .expect("at most 254 addresses in a network");
        net::Ipv4Addr::new(127, self.net[0], self.net[1], self.next)
    }

    /// Returns an unused IP address with the port of stand-ins and links.
    pub fn next_address(&mut self) -> net::SocketAddr {
        (self.next_ip(), STANDIN_PORT).into()
    }
}
