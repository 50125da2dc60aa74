//! Random numbers, passed in so that a seed reproduces every decision.

/// Source of random numbers.
pub trait Rng: Send {
    /// Returns the next 64 random bits.
    fn next_u64(&mut self) -> u64;

    /// Returns a number below `bound`, which must not be zero.
    fn below(&mut self, bound: u64) -> u64 {
        // The high half of a widening multiplication has a bias below bound / 2^64.
        ((u128::from(self.next_u64()) * u128::from(bound)) >> 64) as u64
    }
}

/// Seeded generator with 64 bits of state.
#[derive(Debug, Clone)]
pub struct SplitMix64 {
    state: u64,
}

impl SplitMix64 {
    /// Creates a generator that repeats its sequence for the same seed.
    pub fn new(seed: u64) -> SplitMix64 {
        SplitMix64 { state: seed }
    }
}

impl Rng for SplitMix64 {
    fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
