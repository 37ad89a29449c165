//! SpreadSketch, an approximate alternative to the exact table.
//!
//! After Tang, Huang and Lee, "SpreadSketch: Toward Invertible and Network-Wide Detection of
//! Superspreaders" (INFOCOM 2020). Each bucket of a few rows holds a bitmap that estimates the
//! number of distinct servers of all sources hashed to it, the source with the highest level, and
//! that level. Sketches of several instances are merged bucket by bucket. Memory is fixed whatever
//! the number of sources, at the cost of an estimate instead of an exact count.
//!
//! [`docs/notes/suspects.md`](../../../docs/notes/suspects.md) holds the comparison. The system
//! uses [`crate::Table`].

use wire::Fingerprint;

/// Number of bits in one component of a bucket's bitmap.
const BITS: u32 = 32;
/// Number of components of a bucket's bitmap. Each component gets half of the pairs that the
/// earlier components leave, and the last one gets all that remain.
const COMPONENTS: usize = 4;

/// Sketch of the requests that have strikes from many distinct servers.
#[derive(Clone, Debug)]
pub struct Sketch {
    rows: usize,
    width: usize,
    buckets: Vec<Bucket>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    bitmap: [u32; COMPONENTS],
    source: Fingerprint,
    level: u8,
}

impl Sketch {
    /// Returns an empty sketch of `rows` rows with `width` buckets each, at least one of both.
    pub fn new(rows: usize, width: usize) -> Sketch {
        Sketch {
            rows: rows.max(1),
            width: width.max(1),
            buckets: vec![Bucket::default(); rows.max(1) * width.max(1)],
        }
    }

    /// Adds a pair of a source (request) and a destination (server).
    pub fn add(&mut self, source: Fingerprint, destination: u64) {
        let pair = hash(source ^ destination.rotate_left(32), 0);
        let level = pair.leading_zeros().min(255) as u8;
        for row in 0..self.rows {
            let index = self.index(row, source);
            self.buckets[index].add(source, pair, level);
        }
    }

    /// Merges another instance's sketch, which must have the same rows and width.
    pub fn merge(&mut self, other: &Sketch) {
        for (bucket, other_bucket) in self.buckets.iter_mut().zip(&other.buckets) {
            for (bits, other_bits) in bucket.bitmap.iter_mut().zip(other_bucket.bitmap) {
                *bits |= other_bits;
            }
            if other_bucket.level > bucket.level {
                bucket.level = other_bucket.level;
                bucket.source = other_bucket.source;
            }
        }
    }

    /// Returns the estimated number of distinct destinations of a source.
    pub fn estimate(&self, source: Fingerprint) -> f64 {
        (0..self.rows)
            .map(|row| self.buckets[self.index(row, source)].estimate())
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the sources stored in buckets whose estimate is at least `min_estimate`.
    pub fn sources(&self, min_estimate: f64) -> Vec<Fingerprint> {
        let mut sources: Vec<Fingerprint> = self
            .buckets
            .iter()
            .filter(|bucket| bucket.level > 0 || bucket.source != 0)
            .map(|bucket| bucket.source)
            .filter(|source| self.estimate(*source) >= min_estimate)
            .collect();
        sources.sort_unstable();
        sources.dedup();
        sources
    }

    /// Returns the size of the sketch in memory and on the wire, in bytes.
    pub fn bytes(&self) -> usize {
        let bucket = COMPONENTS * (BITS as usize / 8) + 8 + 1;
        self.buckets.len() * bucket
    }

    fn index(&self, row: usize, source: Fingerprint) -> usize {
        let column = hash(source, row as u64 + 1) as usize % self.width;
        row * self.width + column
    }
}

impl Bucket {
    fn add(&mut self, source: Fingerprint, pair: u64, level: u8) {
        let component = (level as usize).min(COMPONENTS - 1);
        let bit = (pair & u64::from(BITS - 1)) as u32;
        self.bitmap[component] |= 1 << bit;
        if level >= self.level {
            self.level = level;
            self.source = source;
        }
    }

    /// Returns the estimated number of distinct pairs: the sum of the components' estimates by
    /// linear counting. The components count disjoint shares of the pairs.
    fn estimate(&self) -> f64 {
        self.bitmap
            .iter()
            .map(|bits| {
                let zeros = f64::from(bits.count_zeros()).max(0.5);
                f64::from(BITS) * (f64::from(BITS) / zeros).ln()
            })
            .sum()
    }
}

fn hash(value: u64, seed: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&value.to_le_bytes(), seed)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn merged_sketches_identify_the_superspreader() {
        let mut first = Sketch::new(3, 256);
        let mut second = Sketch::new(3, 256);
        for destination in 0..40 {
            first.add(7, destination);
            second.add(7, destination + 40);
            first.add(1_000 + destination, 1);
        }
        first.merge(&second);
        let estimate = first.estimate(7);
        assert!((40.0..140.0).contains(&estimate), "{estimate}");
        assert_eq!(first.sources(30.0), vec![7]);
    }
}
