//! Runners as the list has them, and what keeps listed ones out of use whatever the list says.
//!
//! It owns who is out by hand, and when whoever is back counts as started. It does no I/O and reads no clock;
//! it must never choose a runner: the brain hears readiness and start, and draws as ever.

use std::collections::BTreeMap;

use topazsail::{Id, Listing, Micros, Readiness, RosterEntry};
use topazsail_recovery::limits;

/// Runners that are listed no more and that are still known as having been.
const GONE_MOST: usize = 4096;
/// What discovery has, and could tell, counts as told after this, whether or not it came. The grace of a drain comes
/// after it, for the turn in which that is noticed.
pub const ROSTER_LEASE_TIMEOUT: Micros = 6_000_000;

/// A start that is told as so much older than the last list without it is told by a clock that was set back: a list may
/// come late by this.
const LISTED_WITHIN: Micros = 2 * ROSTER_LEASE_TIMEOUT;

struct Member {
    /// As last listed, with its start by this process's clock.
    entry: RosterEntry,
    /// Its start as it was told.
    started: Option<Micros>,
    /// Since when it is listed no more.
    gone_since: Option<Micros>,
    /// Since when it is out by hand.
    out_since: Option<Micros>,
    /// From when and until when it was last out by hand.
    was_out: Option<(Micros, Micros)>,
}

impl Member {
    fn new(entry: RosterEntry, gone_since: Option<Micros>) -> Member {
        let started = entry.launched;
        Member { entry, started, gone_since, out_since: None, was_out: None }
    }

    /// What holds of it, the list, the hand and the rest of cold ones taken together.
    fn standing(&self, terms: &Terms, now: Micros) -> RosterEntry {
        let mut entry = self.entry.clone();
        if entry.readiness == Readiness::Up && (self.out_since.is_some() || terms.lapsed) {
            entry.readiness = Readiness::Draining;
        }
        // It was restarted while it was out, and the list may say so late: to take it for warm would be to
        // push it over.
        if let Some((from, until)) = self.was_out
            && entry.launched.is_none_or(|launched| launched < from)
        {
            entry.launched = Some(until);
        }
        let cold = entry
            .launched
            .is_some_and(|launched| now < launched + terms.warm_within && launched < terms.before);
        if entry.readiness == Readiness::Up && cold && now < terms.until {
            entry.readiness = Readiness::Draining;
        }
        entry
    }
}

/// What keeps listed ones out of use, whoever they are. Cold runners get nothing until then: another process of this
/// dispatcher may have sent them their share. Whoever started later than that process can have ended had nothing
/// from it.
struct Terms {
    until: Micros,
    before: Micros,
    warm_within: Micros,
    /// The lease on the list has lapsed: anybody listed may have been told to drain, and nobody is sent anything.
    /// Each word of discovery's renews it, and so does each sign that discovery cannot be reached, as nothing counts
    /// as told meanwhile. A process begins without one: what it remembers may be of any age.
    lapsed: bool,
}

pub struct Membership {
    by_id: BTreeMap<Id, Member>,
    /// When discovery was heard before the list that is told next.
    heard_before: Option<Micros>,
    terms: Terms,
}

impl Membership {
    pub fn new(warm_within: Micros) -> Membership {
        Membership {
            by_id: BTreeMap::new(),
            heard_before: None,
            terms: Terms { until: Micros::MIN, before: Micros::MAX, warm_within, lapsed: true },
        }
    }

    /// Nothing that could be told before `sure_at` has been missed. Gives what holds of all listed ones where the lease
    /// lapses now, or is renewed after that.
    pub fn update_lease(&mut self, sure_at: Micros, now: Micros) -> Option<Vec<RosterEntry>> {
        let lapsed = now >= sure_at + ROSTER_LEASE_TIMEOUT;
        (std::mem::replace(&mut self.terms.lapsed, lapsed) != lapsed).then(|| self.effective_entries(now))
    }

    pub fn lease_has_lapsed(&self) -> bool {
        self.terms.lapsed
    }

    /// How long a runner is cold, from now on.
    pub fn set_warm_up_span(&mut self, span: Micros) {
        self.terms.warm_within = span;
    }

    /// Has cold runners that started before `before` rest until then. Gives what holds of all listed ones now.
    pub fn pause_cold_runners(&mut self, until: Micros, before: Micros, now: Micros) -> Vec<RosterEntry> {
        (self.terms.until, self.terms.before) = (until, before);
        self.effective_entries(now)
    }

    fn listed_now(&self) -> impl Iterator<Item = &Member> + Clone {
        self.by_id.values().filter(|known| known.gone_since.is_none())
    }

    /// The list as last told.
    pub fn listed_entries(&self) -> impl Iterator<Item = &RosterEntry> {
        self.listed_now().map(|known| &known.entry)
    }

    /// Who was listed once.
    pub fn unlisted_ids(&self) -> Vec<String> {
        let gone = self.by_id.iter().filter(|(_, known)| known.gone_since.is_some());
        gone.map(|(id, _)| id.to_string()).collect()
    }

    /// What the hand has done to one runner: since when it is out, and when it last was.
    pub fn admin_override(&self, id: &str) -> (Option<Micros>, Option<(Micros, Micros)>) {
        self.by_id.get(id).map_or((None, None), |known| (known.out_since, known.was_out))
    }

    pub fn is_known(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    /// Whoever the hand has touched.
    pub fn overridden_ids(&self) -> Vec<String> {
        let touched = |known: &Member| known.out_since.is_some() || known.was_out.is_some();
        self.by_id.iter().filter(|(_, known)| touched(known)).map(|(id, _)| id.to_string()).collect()
    }

    /// Listed ones that may be sent to, counted by how much of their full capacity they have, and all that are listed.
    pub fn warm_capacity(&self, cold_from: f64, now: Micros) -> (f64, usize) {
        let span = (cold_from, self.terms.warm_within);
        let share = |entry: RosterEntry| match entry.readiness {
            Readiness::Up => limits::warmth(entry.launched, span, now),
            Readiness::Draining | Readiness::Removed => 0.0,
        };
        let warm = self.listed_now().map(|known| share(known.standing(&self.terms, now))).sum();
        (warm, self.listed_now().count())
    }

    /// Listed ones that are cold, whatever else keeps them out of use.
    pub fn cold_runners(&self, now: Micros) -> Vec<Id> {
        let cold = |known: &&Member| {
            let launched = known.standing(&self.terms, now).launched;
            launched.is_some_and(|launched| now < launched + self.terms.warm_within)
        };
        self.listed_now().filter(cold).map(|known| known.entry.runner.clone()).collect()
    }

    /// What holds of all listed ones now.
    pub fn effective_entries(&self, now: Micros) -> Vec<RosterEntry> {
        self.listed_now().map(|known| known.standing(&self.terms, now)).collect()
    }

    /// Who is out by hand, and since when.
    pub fn runners_in_maintenance(&self) -> Vec<(String, Micros)> {
        self.by_id.iter().filter_map(|(id, known)| Some((id.to_string(), known.out_since?))).collect()
    }

    /// Who was out by hand last, from when and until when.
    pub fn past_maintenance(&self) -> Vec<(String, Micros, Micros)> {
        let was = |(id, known): (&Id, &Member)| known.was_out.map(|(from, to)| (id.to_string(), from, to));
        self.by_id.iter().filter_map(was).collect()
    }

    /// What another process knew of a runner.
    pub fn inherit(&mut self, id: &str, out_since: Option<Micros>, was_out: Option<(Micros, Micros)>) {
        let known = self.by_id.entry(id.into()).or_insert_with(|| {
            let entry = RosterEntry {
                runner: id.into(),
                cell: -1,
                size: 0.0,
                machine_type: "".into(),
                zone: "".into(),
                readiness: Readiness::Removed,
                launched: None,
            };
            Member::new(entry, Some(0))
        });
        known.out_since = out_since.or(known.out_since);
        known.was_out = was_out.or(known.was_out);
    }

    /// When discovery was heard before the list that is told next, if it was.
    pub fn set_previous_contact(&mut self, at: Option<Micros>) {
        self.heard_before = at;
    }

    /// When a runner counts as started, by this process's clock, which no step of the wall clock moves. It has not started
    /// yet to come, and one that is new has not started long before the list in which it was not.
    fn started(&self, told: &RosterEntry, now: Micros) -> Option<Micros> {
        let launched = told.launched?;
        let known = self.by_id.get(&told.runner).filter(|known| known.started == told.launched);
        if let Some(known) = known {
            return known.entry.launched;
        }
        let since = self.heard_before.filter(|since| launched + LISTED_WITHIN < *since);
        Some(since.unwrap_or(launched).min(now))
    }

    /// What the list tells, as it holds.
    pub fn apply_listing(
        &mut self,
        listing: Listing,
        told: Vec<RosterEntry>,
        now: Micros,
    ) -> Vec<RosterEntry> {
        if matches!(listing, Listing::All | Listing::Remembered) {
            self.by_id.values_mut().for_each(|known| known.gone_since = known.gone_since.or(Some(now)));
        }
        let mut standing = Vec::new();
        for mut entry in told {
            let gone_since = Some(now).filter(|_| entry.readiness == Readiness::Removed);
            let started = entry.launched;
            entry.launched = self.started(&entry, now);
            let known = self.by_id.entry(entry.runner.clone());
            let known = known.or_insert_with(|| Member::new(entry.clone(), gone_since));
            (known.entry, known.started, known.gone_since) = (entry, started, gone_since);
            standing.push(known.standing(&self.terms, now));
        }
        self.tidy();
        standing
    }

    /// Of those that are gone only so many are remembered, the latest; whoever is out by hand stays out.
    fn tidy(&mut self) {
        let gone = |known: &Member| known.gone_since.filter(|_| known.out_since.is_none());
        let mut all: Vec<Micros> = self.by_id.values().filter_map(gone).collect();
        if all.len() > GONE_MOST {
            all.sort_unstable();
            let from = all[all.len() - GONE_MOST / 2];
            self.by_id.retain(|_, known| gone(known).is_none_or(|since| since >= from));
        }
    }

    /// Takes a runner out by hand, or back in. Gives what holds of it now, where that is any news of a
    /// listed one.
    pub fn set_maintenance(
        &mut self,
        id: &str,
        out: bool,
        now: Micros,
    ) -> Result<Option<RosterEntry>, &'static str> {
        let known = self.by_id.get_mut(id).ok_or("this runner was never listed")?;
        match (out, known.out_since) {
            (true, None) => known.out_since = Some(now),
            (false, Some(from)) => {
                known.out_since = None;
                known.was_out = Some((from, now));
            }
            _ => return Ok(None),
        }
        Ok(Some(known.standing(&self.terms, now)).filter(|_| known.gone_since.is_none()))
    }

    /// Listed runners, and those of them that are out by hand.
    pub fn count(&self) -> (usize, usize) {
        let listed = self.listed_now();
        let out = listed.clone().filter(|known| known.out_since.is_some()).count();
        (listed.count(), out)
    }
}
