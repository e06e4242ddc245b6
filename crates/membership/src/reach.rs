//! Which of the two directions between this member and another one works. A way that is cut to one side only is
//! no death, and each side of it can be told apart.

/// What is known of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PathState {
    /// Nothing yet, or nothing that still holds.
    #[default]
    Unknown,
    /// It works.
    Open,
    /// Nothing comes through, though the other side is there.
    Partitioned,
}

/// Both directions, with when that was last seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Paths {
    to: Option<(PathState, u64)>,
    from: Option<(PathState, u64)>,
    /// The last direct probe that the other has had from here.
    pub heard_number: u64,
    /// Direct probes in a row that were answered by way of others only.
    roundabout: u32,
}

/// So many roundabout answers in a row show a cut; fewer may be losses.
const SHOWS: u32 = 3;

impl Paths {
    /// Something came from the other itself.
    pub fn heard(&mut self, now: u64) {
        self.from = Some((PathState::Open, now));
    }

    /// The other has answered a probe itself, so both ways work.
    pub fn answered(&mut self, now: u64) {
        (self.to, self.from, self.roundabout) = (
            Some((PathState::Open, now)),
            Some((PathState::Open, now)),
            0,
        );
    }

    /// The other is there, as another member found, but has not answered this member's probe `number` itself; the last
    /// number that it had from here is `heard`. Whether it has now been so often enough to be more than a loss.
    pub fn answered_roundabout(&mut self, now: u64, number: u64, heard: u64, period: u64) -> bool {
        let got_there = heard >= number && number > 0;
        self.roundabout = self.roundabout.saturating_add(1);
        if got_there {
            self.to = Some((PathState::Open, now));
        }
        if self.roundabout < SHOWS {
            return false;
        }
        if !got_there {
            self.to = Some((PathState::Partitioned, now));
        }
        // What came lately of itself shows that the way back works; otherwise its answer was lost on it, if the
        // probe got there, and nothing is known if it did not.
        let lately = self
            .from
            .is_some_and(|(way, at)| way == PathState::Open && now < at.saturating_add(period));
        if got_there && !lately {
            self.from = Some((PathState::Partitioned, now));
        }
        true
    }

    /// Whether something came from the other itself since a time.
    pub fn spoke_since(&self, since: u64) -> bool {
        self.from
            .is_some_and(|(way, at)| way == PathState::Open && at >= since)
    }

    /// Whether the last answer came by way of others only.
    pub fn is_doubtful(&self) -> bool {
        self.roundabout > 0
    }

    /// The direction from this member to the other.
    pub fn to(&self, now: u64, holds: u64) -> PathState {
        Self::lately(self.to, now, holds)
    }

    /// The direction from the other to this member.
    pub fn from(&self, now: u64, holds: u64) -> PathState {
        Self::lately(self.from, now, holds)
    }

    fn lately(way: Option<(PathState, u64)>, now: u64, holds: u64) -> PathState {
        way.filter(|(_, at)| now < at.saturating_add(holds))
            .map_or(PathState::Unknown, |(way, _)| way)
    }
}
