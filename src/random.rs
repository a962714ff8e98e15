//! Random numbers and hashing for the routing policy, without any outside source of randomness.

/// Pseudo-random number generator: a permuted congruential generator (PCG-XSH-RR 64/32).
#[derive(Default)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator; equal seeds give equal sequences.
    pub fn new(seed: u64) -> Rng {
        let mut rng = Rng(seed.wrapping_add(0x9e37_79b9_7f4a_7c15));
        rng.next();
        rng
    }

    /// The next 32 random bits.
    fn next(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// A uniform integer from 0 up to, but not including, `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        (u64::from(self.next()) * bound) >> 32
    }

    /// True with this probability.
    pub fn bernoulli(&mut self, probability: f64) -> bool {
        f64::from(self.next()) < probability * f64::from(u32::MAX)
    }

    /// A uniform number from 0 up to, but not including, 1.
    fn uniform(&mut self) -> f64 {
        self.below(1 << 31) as f64 / (1u64 << 31) as f64
    }

    /// An approximately standard normal number: the sum of three uniform numbers from -1 to 1 is close
    /// enough.
    pub fn normal(&mut self) -> f64 {
        (0..3).map(|_| 2.0 * self.uniform() - 1.0).sum()
    }

    /// A random index into `weights`, which is not empty, with probability proportional to the weight.
    pub fn weighted_index(&mut self, weights: &[f64]) -> usize {
        let mut left = self.uniform() * weights.iter().sum::<f64>();
        let reached = |weight: &f64| {
            left -= weight;
            left < 0.0
        };
        weights.iter().position(reached).unwrap_or(weights.len() - 1)
    }
}

/// Hashes bytes (FNV-1a; mix the result before use). The same at every dispatcher, so that all rank the same
/// homes for a key.
pub fn hash(bytes: &[u8]) -> u64 {
    let fold = |h: u64, byte: &u8| (h ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, fold)
}

/// Maps a hash to a number from 0 up to, but not including, 1, uniform over all hashes. The bits are mixed by
/// the 64-bit finalizer of MurmurHash3.
fn unit_interval(mut hash: u64) -> f64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    ((hash ^ (hash >> 33)) >> 11) as f64 / (1u64 << 53) as f64
}

/// Weighted rendezvous hashing, the same at every dispatcher: the first `length` candidates for a key, in
/// order. A candidate is its hash, 1 / weight and the index that is returned.
pub fn rendezvous_rank(key: u64, candidates: &[(u64, f64, usize)], length: usize) -> Vec<usize> {
    let rank = |(hash, inverse_weight, index): &(u64, f64, usize)| {
        (-unit_interval(key ^ hash).ln() * inverse_weight, *index)
    };
    let mut ranks: Vec<(f64, usize)> = candidates.iter().map(rank).collect();
    if length < ranks.len() {
        ranks.select_nth_unstable_by(length, |a, b| a.0.total_cmp(&b.0));
        ranks.truncate(length);
    }
    ranks.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    ranks.into_iter().map(|(_, index)| index).collect()
}
