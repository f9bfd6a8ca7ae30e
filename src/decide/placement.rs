//! Which endpoint a request goes to.

use rand::{Rng, RngExt};

use crate::core::configuration::Spill;
use crate::core::member::{NodeId, Place};

/// What the entry node knows of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint's node.
    pub node: NodeId,
    /// Where it stands.
    pub place: Place,
    /// Requests it has in hand in percent of its slots, as last reported; above 100 it queues.
    pub load_percent: u32,
}

/// Distance classes, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    DataCentre,
    Region,
    Mesh,
}

/// Load from which an endpoint counts as full.
const FULL_PERCENT: u32 = 100;

/// Picks an endpoint, nearest first, and further away only when the near ones are full.
///
/// Load made for: skewed demand. Harm prevented: the single least loaded endpoint is stampeded by
/// every entry at once; two random choices spread what one report would concentrate. Reason for
/// the limit: the link between regions is billed, so crossing it needs every nearer slot taken.
pub fn place<'a>(
    candidates: &'a [Candidate],
    from: &Place,
    spill: Spill,
    rng: &mut impl Rng,
) -> Option<&'a Candidate> {
    let reach = match spill {
        Spill::DataCentre => Distance::DataCentre,
        Spill::Region => Distance::Region,
        Spill::Mesh => Distance::Mesh,
    };
    let rings = [Distance::DataCentre, Distance::Region, Distance::Mesh];
    let mut fallback = None;
    for ring in rings.into_iter().filter(|ring| *ring <= reach) {
        let near: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| distance(from, &candidate.place) == ring)
            .collect();
        let Some(chosen) = better_of_two(&near, rng) else {
            continue;
        };
        if chosen.load_percent < FULL_PERCENT {
            return Some(chosen);
        }
        fallback.get_or_insert(chosen);
    }
    fallback
}

fn better_of_two<'a>(near: &[&'a Candidate], rng: &mut impl Rng) -> Option<&'a Candidate> {
    if near.is_empty() {
        return None;
    }
    let first = near[rng.random_range(0..near.len())];
    let second = near[rng.random_range(0..near.len())];
    if second.load_percent < first.load_percent {
        Some(second)
    } else {
        Some(first)
    }
}

fn distance(from: &Place, to: &Place) -> Distance {
    if from == to {
        Distance::DataCentre
    } else if from.region == to.region {
        Distance::Region
    } else {
        Distance::Mesh
    }
}
