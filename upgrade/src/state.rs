//! The state machine of one process: alone, or one of the two processes of an upgrade.

use serde::{Deserialize, Serialize};
use topazsail::Micros;

/// How long the process that serves waits for a successor to be ready. A start may retry what the host fails
/// transiently for 4 s.
const READY_TIMEOUT: Micros = 5_000_000;
/// A successor that has not said by then that it confirms is of an older version, and serves already.
const CONFIRMATION_TIMEOUT: Micros = 250_000;
/// How long a successor that is ready waits for the word of its predecessor.
const COMMIT_TIMEOUT: Micros = 1_000_000;
/// The pause between two messages that say only that the successor is alive.
const ALIVE_INTERVAL: Micros = 250_000;
/// A successor that has sent nothing for this long may be stopped: its predecessor accepts connections meanwhile.
const SILENCE_TIMEOUT: Micros = 1_000_000;

/// What only one process of a dispatcher has at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Resource {
    /// Accepting connections on the listeners.
    Accepting,
    /// The socket on which a successor asks for the hand-over. Whoever takes it replaces its previous owner.
    SuccessorSocket,
    /// The socket for datagrams of other dispatchers.
    Datagrams,
    /// The folder of the store.
    Store,
}

/// All resources, in the order in which they are taken and released.
const RESOURCES: [Resource; 4] =
    [Resource::Accepting, Resource::SuccessorSocket, Resource::Datagrams, Resource::Store];

/// What the two processes tell each other about the upgrade itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A successor has connected, and will say when it is ready.
    Hello,
    /// The successor has taken over the state and can serve.
    Ready,
    /// The predecessor has released all resources: the successor owns them now.
    Committed,
    /// The predecessor serves on, and the successor must not serve.
    Withdrawn,
    /// The successor is running.
    Alive,
}

/// Why a process does not hand over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// It is one of the two processes of an upgrade already: ask again later.
    Busy,
    /// It is shutting down.
    ShuttingDown,
}

impl Refusal {
    /// The code of this refusal in the log.
    pub fn code(self) -> &'static str {
        match self {
            Refusal::Busy => "busy",
            Refusal::ShuttingDown => "shutting_down",
        }
    }
}

/// What has gone wrong in an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// The listener or the state could not be sent.
    NotSent,
    /// The successor has ended before its predecessor was told to.
    SuccessorEnded,
    /// The successor was not ready in time.
    SuccessorNotReady,
    /// The successor sends nothing: its predecessor accepts connections beside it.
    SuccessorSilent,
    /// The predecessor has not answered that the successor is ready, which serves all the same.
    PredecessorSilent,
    /// The predecessor has withdrawn its hand-over and serves on.
    Withdrawn,
}

impl Failure {
    /// The code of this failure in the log.
    pub fn code(self) -> &'static str {
        match self {
            Failure::NotSent => "not_sent",
            Failure::SuccessorEnded => "successor_ended",
            Failure::SuccessorNotReady => "successor_not_ready",
            Failure::SuccessorSilent => "successor_silent",
            Failure::PredecessorSilent => "predecessor_silent",
            Failure::Withdrawn => "withdrawn",
        }
    }
}

/// What a process is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A starting process has connected and asks for the hand-over.
    SuccessorAsked,
    /// The listener or the state could not be sent to it.
    OfferFailed,
    /// The other process has sent a message about the upgrade.
    Received(Message),
    /// The other process has sent anything else.
    Heard,
    /// The connection to the other process has ended.
    PeerEnded,
    /// This process is told to shut down.
    ShutdownBegan,
    /// A time of [`Action::SetTimer`] has come.
    TimerFired,
}

/// What a process has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Refuse the starting process that has asked.
    Refuse(Refusal),
    /// Send the listener and the state to the starting process that has asked.
    Offer,
    /// Send a message to the other process.
    Send(Message),
    /// Close the connection to the other process once all messages are sent.
    Disconnect,
    /// Use a resource from now on.
    Take(Resource),
    /// Stop using a resource.
    Release(Resource),
    /// Send nothing to cold runners, as the successor may.
    PauseColdRunners,
    /// Send to cold runners again; what a successor that `served` may have sent them still counts.
    ResumeColdRunners {
        /// Whether it can have sent any.
        served: bool,
    },
    /// Report [`Event::TimerFired`] at this time.
    SetTimer(Micros),
    /// Log a failure and count it.
    Report(Failure),
    /// End this process at once: it must not serve.
    Exit,
}

/// Which of the two processes of an upgrade the other one is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// The other process takes over from this one.
    Successor,
    /// This process takes over from the other one.
    Predecessor,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// There is no other process. Owns all resources.
    Alone,
    /// The state was sent to a successor that is not ready yet. Owns all resources.
    Offering { since: Micros, confirms: bool },
    /// A successor owns all resources, except for accepting while `covers`.
    Released { confirms: bool, heard_at: Micros, covers: bool },
    /// Has the state of the predecessor, which still owns all resources.
    Preparing { since: Micros },
    /// Owns all resources; the predecessor answers what it has accepted.
    Succeeding { confirms: bool },
    /// Must not serve.
    Ended,
}

/// The state of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Upgrade {
    phase: Phase,
    is_shutting_down: bool,
    /// When the time is checked next; earlier timers are left over from an earlier phase.
    due: Micros,
}

impl Default for Upgrade {
    fn default() -> Upgrade {
        Upgrade::in_phase(Phase::Alone)
    }
}

impl Upgrade {
    fn in_phase(phase: Phase) -> Upgrade {
        Upgrade { phase, is_shutting_down: false, due: Micros::MAX }
    }

    /// A process that has taken over the state of another. A predecessor that does not confirm is of an older
    /// version, and has released all resources with its state.
    pub fn successor(predecessor_confirms: bool, now: Micros) -> (Upgrade, Vec<Action>) {
        if !predecessor_confirms {
            return (Upgrade::in_phase(Phase::Succeeding { confirms: false }), take_all());
        }
        let mut upgrade = Upgrade::in_phase(Phase::Preparing { since: now });
        let actions = vec![Action::Send(Message::Ready), upgrade.check_at(now + COMMIT_TIMEOUT)];
        (upgrade, actions)
    }

    /// Which process the other one is, while there is one.
    pub fn other(&self) -> Option<Role> {
        match self.phase {
            Phase::Alone | Phase::Ended => None,
            Phase::Offering { .. } | Phase::Released { .. } => Some(Role::Successor),
            Phase::Preparing { .. } | Phase::Succeeding { .. } => Some(Role::Predecessor),
        }
    }

    /// Whether this process uses a resource.
    pub fn owns(&self, resource: Resource) -> bool {
        match self.phase {
            Phase::Alone | Phase::Offering { .. } | Phase::Succeeding { .. } => true,
            Phase::Released { covers, .. } => covers && resource == Resource::Accepting,
            Phase::Preparing { .. } | Phase::Ended => false,
        }
    }

    /// Whether a successor owns what this process had.
    pub fn has_released(&self) -> bool {
        matches!(self.phase, Phase::Released { .. })
    }

    /// Handles an event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        match event {
            Event::SuccessorAsked => self.answer_successor(now),
            Event::OfferFailed => self.take_back_offer(Failure::NotSent),
            Event::Received(message) => self.receive(message, now),
            Event::Heard => self.note_heard(now),
            Event::PeerEnded => self.continue_alone(),
            Event::ShutdownBegan => self.begin_shutdown(now),
            Event::TimerFired => self.check_time(now),
        }
    }

    fn answer_successor(&mut self, now: Micros) -> Vec<Action> {
        match self.phase {
            Phase::Alone if self.is_shutting_down => vec![Action::Refuse(Refusal::ShuttingDown)],
            Phase::Alone => {
                self.phase = Phase::Offering { since: now, confirms: false };
                vec![Action::PauseColdRunners, Action::Offer, self.check_at(now + CONFIRMATION_TIMEOUT)]
            }
            _ => vec![Action::Refuse(Refusal::Busy)],
        }
    }

    fn receive(&mut self, message: Message, now: Micros) -> Vec<Action> {
        match (self.phase, message) {
            (Phase::Offering { since, confirms: false }, Message::Hello) => {
                self.phase = Phase::Offering { since, confirms: true };
                vec![self.check_at(since + READY_TIMEOUT)]
            }
            (Phase::Offering { .. }, Message::Ready) => {
                let mut actions = self.release(true, now);
                actions.push(Action::Send(Message::Committed));
                actions
            }
            // Released before it was heard that the successor confirms.
            (Phase::Released { confirms: false, heard_at, covers }, Message::Ready) => {
                self.phase = Phase::Released { confirms: true, heard_at, covers };
                vec![Action::Send(Message::Committed), self.check_at(now + SILENCE_TIMEOUT)]
            }
            (Phase::Released { .. }, _) => self.note_heard(now),
            (Phase::Preparing { .. }, Message::Committed) => self.succeed(now),
            (Phase::Preparing { .. }, Message::Withdrawn) => {
                self.phase = Phase::Ended;
                vec![Action::Report(Failure::Withdrawn), Action::Exit]
            }
            _ => Vec::new(),
        }
    }

    fn note_heard(&mut self, now: Micros) -> Vec<Action> {
        let Phase::Released { confirms, covers, .. } = self.phase else { return Vec::new() };
        self.phase = Phase::Released { confirms, heard_at: now, covers: false };
        if covers { vec![Action::Release(Resource::Accepting)] } else { Vec::new() }
    }

    /// The connection to the other process has ended, and with it that process.
    fn continue_alone(&mut self) -> Vec<Action> {
        match self.phase {
            Phase::Offering { .. } => self.take_back_offer(Failure::SuccessorEnded),
            Phase::Released { .. } => {
                self.phase = Phase::Alone;
                if self.is_shutting_down {
                    // Those who connect until it ends are answered so.
                    return vec![Action::Take(Resource::Accepting)];
                }
                let mut actions = take_all();
                actions.push(Action::ResumeColdRunners { served: true });
                actions.push(Action::Report(Failure::SuccessorEnded));
                actions
            }
            Phase::Preparing { .. } => {
                self.phase = Phase::Alone;
                take_all()
            }
            Phase::Succeeding { .. } => {
                self.phase = Phase::Alone;
                Vec::new()
            }
            Phase::Alone | Phase::Ended => Vec::new(),
        }
    }

    fn begin_shutdown(&mut self, now: Micros) -> Vec<Action> {
        self.is_shutting_down = true;
        match self.phase {
            // The successor is needed now.
            Phase::Offering { confirms, .. } => {
                let mut actions = self.release(confirms, now);
                if confirms {
                    actions.push(Action::Send(Message::Committed));
                }
                actions
            }
            // It has never served: the predecessor serves on.
            Phase::Preparing { .. } => {
                self.phase = Phase::Ended;
                vec![Action::Exit]
            }
            _ => Vec::new(),
        }
    }

    /// Has the time checked at `at`, and not before.
    fn check_at(&mut self, at: Micros) -> Action {
        self.due = at;
        Action::SetTimer(at)
    }

    fn check_time(&mut self, now: Micros) -> Vec<Action> {
        if now < self.due {
            return Vec::new();
        }
        match self.phase {
            Phase::Offering { since, confirms: false } if now >= since + CONFIRMATION_TIMEOUT => {
                self.release(false, now)
            }
            Phase::Offering { since, confirms: true } if now >= since + READY_TIMEOUT => {
                let mut actions = vec![Action::Send(Message::Withdrawn), Action::Disconnect];
                actions.extend(self.take_back_offer(Failure::SuccessorNotReady));
                actions
            }
            Phase::Released { confirms: true, heard_at, covers } => {
                let is_silent = now >= heard_at + SILENCE_TIMEOUT;
                if !is_silent || covers || self.is_shutting_down {
                    return vec![self.check_at(now + ALIVE_INTERVAL)];
                }
                self.phase = Phase::Released { confirms: true, heard_at, covers: true };
                vec![
                    Action::Take(Resource::Accepting),
                    Action::Report(Failure::SuccessorSilent),
                    self.check_at(now + ALIVE_INTERVAL),
                ]
            }
            Phase::Preparing { since } if now >= since + COMMIT_TIMEOUT => {
                let mut actions = vec![Action::Report(Failure::PredecessorSilent)];
                actions.extend(self.succeed(now));
                actions
            }
            Phase::Succeeding { confirms: true } => {
                vec![Action::Send(Message::Alive), self.check_at(now + ALIVE_INTERVAL)]
            }
            _ => Vec::new(),
        }
    }

    /// Serves on as if no successor had asked.
    fn take_back_offer(&mut self, failure: Failure) -> Vec<Action> {
        self.phase = Phase::Alone;
        vec![Action::ResumeColdRunners { served: false }, Action::Report(failure)]
    }

    /// Leaves all resources to the successor.
    fn release(&mut self, confirms: bool, now: Micros) -> Vec<Action> {
        self.phase = Phase::Released { confirms, heard_at: now, covers: false };
        let mut actions: Vec<Action> = RESOURCES.map(Action::Release).to_vec();
        if confirms {
            actions.push(self.check_at(now + SILENCE_TIMEOUT));
        }
        actions
    }

    /// Serves, with all resources.
    fn succeed(&mut self, now: Micros) -> Vec<Action> {
        self.phase = Phase::Succeeding { confirms: true };
        let mut actions = take_all();
        actions.push(self.check_at(now + ALIVE_INTERVAL));
        actions
    }
}

/// Takes all resources.
fn take_all() -> Vec<Action> {
    RESOURCES.map(Action::Take).to_vec()
}
