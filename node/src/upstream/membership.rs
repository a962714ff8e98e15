//! The runners on the roster, and what excludes a listed runner from new work regardless of the roster.
//!
//! Holds the operators' maintenance overrides and the start time that counts for each runner. It does no I/O
//! and reads no clock. It does not choose runners: the routing policy receives each runner's readiness and
//! start time and selects as usual.

use std::collections::BTreeMap;

use topazsail::{Id, Listing, Micros, Readiness, RosterEntry};
use topazsail_recovery::limits;

/// Maximum number of runners remembered after they left the roster.
const MAX_UNLISTED: usize = 4096;
/// How long after the last certain contact with discovery the roster may be acted on, in microseconds.
/// Discovery treats a change that it could deliver as known to the dispatcher after this time, whether or not
/// it arrived. The grace period of a drain comes on top and covers the loop turn in which the lapse is
/// noticed.
pub const ROSTER_LEASE_TIMEOUT: Micros = 6_000_000;

/// Maximum delay of a roster update, in microseconds. If a new runner's reported start is older than the last
/// roster without that runner by more than this, the clock that reported it was set back.
const MAX_ROSTER_DELAY: Micros = 2 * ROSTER_LEASE_TIMEOUT;

/// A runner that is or was on the roster.
struct Member {
    /// The entry as last listed, with the start time by this process's clock.
    entry: RosterEntry,
    /// The start time as reported.
    reported_start: Option<Micros>,
    /// When it left the roster; none while it is listed.
    unlisted_since: Option<Micros>,
    /// When an operator put it into maintenance, if it is there now.
    in_maintenance_since: Option<Micros>,
    /// Begin and end of its last maintenance that has ended.
    last_maintenance: Option<(Micros, Micros)>,
}

impl Member {
    fn new(entry: RosterEntry, unlisted_since: Option<Micros>) -> Member {
        let reported_start = entry.started_at;
        Member { entry, reported_start, unlisted_since, in_maintenance_since: None, last_maintenance: None }
    }

    /// The entry after applying maintenance, the lease and the pause of cold runners.
    fn effective_entry(&self, restrictions: &Restrictions, now: Micros) -> RosterEntry {
        let mut entry = self.entry.clone();
        if entry.readiness == Readiness::Up
            && (self.in_maintenance_since.is_some() || restrictions.lease_lapsed)
        {
            entry.readiness = Readiness::Draining;
        }
        // A runner is usually restarted during maintenance, and the roster may report that late. Treating it
        // as warm until then would overload it.
        if let Some((from, until)) = self.last_maintenance
            && entry.started_at.is_none_or(|started_at| started_at < from)
        {
            entry.started_at = Some(until);
        }
        let cold = entry.started_at.is_some_and(|started_at| {
            now < started_at + restrictions.warm_up_span && started_at < restrictions.pause_started_before
        });
        if entry.readiness == Readiness::Up && cold && now < restrictions.pause_until {
            entry.readiness = Readiness::Draining;
        }
        entry
    }
}

/// What excludes listed runners from new work, whichever runner it is.
struct Restrictions {
    /// Cold runners get no work before this time, as another process of this dispatcher may already have sent
    /// them their slow-start share.
    pause_until: Micros,
    /// Only runners that started before this time are paused: one that started after the other process can
    /// have ended has received nothing from it.
    pause_started_before: Micros,
    /// How long a runner is cold after its start.
    warm_up_span: Micros,
    /// The lease on the roster has lapsed: any listed runner may have been announced as draining, so none
    /// gets new work. Each message from discovery renews the lease. So does each sign that discovery is
    /// unreachable, as it can announce nothing then. A process starts without a lease, as its remembered
    /// roster may be of any age.
    lease_lapsed: bool,
}

/// The runners on the roster and those that were on it.
pub struct Membership {
    by_id: BTreeMap<Id, Member>,
    /// When discovery was last in contact before the roster that is applied next.
    previous_contact: Option<Micros>,
    restrictions: Restrictions,
}

impl Membership {
    /// An empty roster without a lease; runners are cold for `warm_up_span` after their start.
    pub fn new(warm_up_span: Micros) -> Membership {
        Membership {
            by_id: BTreeMap::new(),
            previous_contact: None,
            restrictions: Restrictions {
                pause_until: Micros::MIN,
                pause_started_before: Micros::MAX,
                warm_up_span,
                lease_lapsed: true,
            },
        }
    }

    /// Updates the lease, given the time until which no announcement can have been missed. Returns the
    /// effective entries of all listed runners if the lease has just lapsed or was just renewed.
    pub fn update_lease(&mut self, certain_until: Micros, now: Micros) -> Option<Vec<RosterEntry>> {
        let lapsed = now >= certain_until + ROSTER_LEASE_TIMEOUT;
        (std::mem::replace(&mut self.restrictions.lease_lapsed, lapsed) != lapsed)
            .then(|| self.effective_entries(now))
    }

    /// Whether the lease on the roster has lapsed.
    pub fn lease_has_lapsed(&self) -> bool {
        self.restrictions.lease_lapsed
    }

    /// Sets how long a runner is cold after its start.
    pub fn set_warm_up_span(&mut self, span: Micros) {
        self.restrictions.warm_up_span = span;
    }

    /// Withholds work until `until` from cold runners that started before `started_before`. Returns the
    /// effective entries of all listed runners.
    pub fn pause_cold_runners(
        &mut self,
        until: Micros,
        started_before: Micros,
        now: Micros,
    ) -> Vec<RosterEntry> {
        (self.restrictions.pause_until, self.restrictions.pause_started_before) = (until, started_before);
        self.effective_entries(now)
    }

    fn listed(&self) -> impl Iterator<Item = &Member> + Clone {
        self.by_id.values().filter(|member| member.unlisted_since.is_none())
    }

    /// The listed runners as last reported, without overrides or restrictions.
    pub fn listed_entries(&self) -> impl Iterator<Item = &RosterEntry> {
        self.listed().map(|member| &member.entry)
    }

    /// Ids of the runners that were listed and no longer are.
    pub fn unlisted_ids(&self) -> Vec<String> {
        let unlisted = self.by_id.iter().filter(|(_, member)| member.unlisted_since.is_some());
        unlisted.map(|(id, _)| id.to_string()).collect()
    }

    /// The operators' override of one runner: since when it is in maintenance, and its last maintenance that
    /// ended.
    pub fn admin_override(&self, id: &str) -> (Option<Micros>, Option<(Micros, Micros)>) {
        self.by_id
            .get(id)
            .map_or((None, None), |member| (member.in_maintenance_since, member.last_maintenance))
    }

    /// Ids of the runners that are or were in maintenance.
    pub fn overridden_ids(&self) -> Vec<String> {
        let overridden =
            |member: &Member| member.in_maintenance_since.is_some() || member.last_maintenance.is_some();
        self.by_id.iter().filter(|(_, member)| overridden(member)).map(|(id, _)| id.to_string()).collect()
    }

    /// The listed runners that accept work, each counted by the share of full capacity that it has by now,
    /// and the number of all listed runners. `cold_share` is the share of a runner that has just started.
    pub fn warm_capacity(&self, cold_share: f64, now: Micros) -> (f64, usize) {
        let warm_up = (cold_share, self.restrictions.warm_up_span);
        let share = |entry: RosterEntry| match entry.readiness {
            Readiness::Up => limits::warmth(entry.started_at, warm_up, now),
            Readiness::Draining | Readiness::Removed => 0.0,
        };
        let warm = self.listed().map(|member| share(member.effective_entry(&self.restrictions, now))).sum();
        (warm, self.listed().count())
    }

    /// The listed runners that are cold, including those that get no work for other reasons.
    pub fn cold_runners(&self, now: Micros) -> Vec<Id> {
        let cold = |member: &&Member| {
            let started_at = member.effective_entry(&self.restrictions, now).started_at;
            started_at.is_some_and(|started_at| now < started_at + self.restrictions.warm_up_span)
        };
        self.listed().filter(cold).map(|member| member.entry.runner.clone()).collect()
    }

    /// The entries of all listed runners after applying maintenance, the lease and the pause of cold runners.
    pub fn effective_entries(&self, now: Micros) -> Vec<RosterEntry> {
        self.listed().map(|member| member.effective_entry(&self.restrictions, now)).collect()
    }

    /// The runners in maintenance, and since when.
    pub fn runners_in_maintenance(&self) -> Vec<(String, Micros)> {
        self.by_id
            .iter()
            .filter_map(|(id, member)| Some((id.to_string(), member.in_maintenance_since?)))
            .collect()
    }

    /// The runners whose maintenance has ended, with its begin and end.
    pub fn past_maintenance(&self) -> Vec<(String, Micros, Micros)> {
        let past = |(id, member): (&Id, &Member)| {
            member.last_maintenance.map(|(from, until)| (id.to_string(), from, until))
        };
        self.by_id.iter().filter_map(past).collect()
    }

    /// The runner of this id. An unknown one is added as no longer listed.
    fn known_member(&mut self, id: &str) -> &mut Member {
        self.by_id.entry(id.into()).or_insert_with(|| {
            let entry = RosterEntry {
                runner: id.into(),
                cell: -1,
                size: 0.0,
                machine_type: "".into(),
                zone: "".into(),
                readiness: Readiness::Removed,
                started_at: None,
            };
            Member::new(entry, Some(0))
        })
    }

    /// Adds a runner that another process knows as one that is no longer listed, unless it is known here.
    pub fn ensure_known(&mut self, id: &str) {
        self.known_member(id);
    }

    /// Adopts what another process knew of a runner. An unknown runner is added as no longer listed.
    pub fn inherit(
        &mut self,
        id: &str,
        in_maintenance_since: Option<Micros>,
        last_maintenance: Option<(Micros, Micros)>,
    ) {
        let member = self.known_member(id);
        member.in_maintenance_since = in_maintenance_since.or(member.in_maintenance_since);
        member.last_maintenance = last_maintenance.or(member.last_maintenance);
    }

    /// Sets when discovery was last in contact before the roster that is applied next, if it was.
    pub fn set_previous_contact(&mut self, at: Option<Micros>) {
        self.previous_contact = at;
    }

    /// The runner's start time by this process's clock, which steps of the wall clock do not change. It is
    /// never in the future, and for a newly listed runner never long before the last roster in which it was
    /// missing.
    fn start_time(&self, entry: &RosterEntry, now: Micros) -> Option<Micros> {
        let started_at = entry.started_at?;
        let member = self.by_id.get(&entry.runner).filter(|member| member.reported_start == entry.started_at);
        if let Some(member) = member {
            return member.entry.started_at;
        }
        let contact = self.previous_contact.filter(|contact| started_at + MAX_ROSTER_DELAY < *contact);
        Some(contact.unwrap_or(started_at).min(now))
    }

    /// Applies a roster or a change to it, and returns the effective entries of the runners that it names.
    pub fn apply_listing(
        &mut self,
        listing: Listing,
        entries: Vec<RosterEntry>,
        now: Micros,
    ) -> Vec<RosterEntry> {
        if matches!(listing, Listing::All | Listing::Remembered) {
            self.by_id
                .values_mut()
                .for_each(|member| member.unlisted_since = member.unlisted_since.or(Some(now)));
        }
        let mut effective = Vec::new();
        for mut entry in entries {
            let unlisted_since = Some(now).filter(|_| entry.readiness == Readiness::Removed);
            let reported_start = entry.started_at;
            entry.started_at = self.start_time(&entry, now);
            let member = self.by_id.entry(entry.runner.clone());
            let member = member.or_insert_with(|| Member::new(entry.clone(), unlisted_since));
            (member.entry, member.reported_start, member.unlisted_since) =
                (entry, reported_start, unlisted_since);
            effective.push(member.effective_entry(&self.restrictions, now));
        }
        self.remove_long_unlisted();
        effective
    }

    /// Bounds the number of remembered unlisted runners: above [`MAX_UNLISTED`], drops those that left first
    /// until half of that number remains. Runners in maintenance are kept, so that they are still in
    /// maintenance when they are listed again.
    fn remove_long_unlisted(&mut self) {
        let removable =
            |member: &Member| member.unlisted_since.filter(|_| member.in_maintenance_since.is_none());
        let mut unlisted: Vec<Micros> = self.by_id.values().filter_map(removable).collect();
        if unlisted.len() > MAX_UNLISTED {
            unlisted.sort_unstable();
            let keep_from = unlisted[unlisted.len() - MAX_UNLISTED / 2];
            self.by_id.retain(|_, member| removable(member).is_none_or(|since| since >= keep_from));
        }
    }

    /// Puts a runner into maintenance, or ends its maintenance. Returns its effective entry if that is a
    /// change and the runner is listed; fails for a runner that was never listed.
    pub fn set_maintenance(
        &mut self,
        id: &str,
        out: bool,
        now: Micros,
    ) -> Result<Option<RosterEntry>, &'static str> {
        let member = self.by_id.get_mut(id).ok_or("this runner was never listed")?;
        match (out, member.in_maintenance_since) {
            (true, None) => member.in_maintenance_since = Some(now),
            (false, Some(from)) => {
                member.in_maintenance_since = None;
                member.last_maintenance = Some((from, now));
            }
            _ => return Ok(None),
        }
        Ok(Some(member.effective_entry(&self.restrictions, now)).filter(|_| member.unlisted_since.is_none()))
    }

    /// The number of listed runners, and how many of them are in maintenance.
    pub fn count(&self) -> (usize, usize) {
        let listed = self.listed();
        let out = listed.clone().filter(|member| member.in_maintenance_since.is_some()).count();
        (listed.count(), out)
    }
}
