//! What the two processes of an upgrade send each other: the state, and then messages while both serve.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use topazsail::Micros;
use topazsail_peers::AdminCall;

use crate::ingress::clients::RunnerCallback;
use crate::upstream::roster::{PassedContact, PassedRoster};

/// The state of a serving process that its successor needs.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct HandoverState {
    /// The address of the discovery that the roster comes from.
    pub discovery: String,
    /// The list of runners in discovery's own format.
    #[serde(rename = "list")]
    pub roster: Value,
    /// The time up to which no change at discovery can have been missed; 0 if the other process does not send
    /// it.
    #[serde(default)]
    pub sure_at: Micros,
    /// The number of open connections.
    #[serde(default)]
    pub connections: usize,
    /// Runners that were listed once and no longer are.
    #[serde(default)]
    pub gone: Vec<String>,
    /// Runners taken out by an admin override, and since when.
    pub out: Vec<(String, Micros)>,
    /// Runners that were taken out by an admin override and are back, with the start and end of that time.
    pub was_out: Vec<(String, Micros, Micros)>,
    /// Ids of invocations that are open or have been answered.
    pub ids: Vec<String>,
    /// The text of the configuration in force.
    pub configuration: String,
    /// Whether the sender serves on until its successor is ready, and then says that it has released all resources. A
    /// process that does not send this has released them with the state.
    #[serde(default)]
    pub confirms: bool,
    /// By cold runner, the times and amounts of the work sent to it recently.
    #[serde(rename = "spent")]
    pub slow_start_usage: Vec<(String, Vec<(Micros, f64)>)>,
}

/// The messages between the two processes while both serve.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverMessage {
    /// A call-back for an invocation that is not open at the sender, with the hash of its bytes.
    #[serde(rename = "told")]
    Callback(RunnerCallback, u64),
    /// An operator has taken a runner out, or back in: here, or at another dispatcher.
    #[serde(rename = "hand")]
    AdminOverride {
        /// The runner's id.
        id: String,
        /// Whether it is out of service.
        out: bool,
        /// How many overrides the sender had received from the receiver by then. A process that does not
        /// send the number counts as having received all.
        #[serde(default = "all_overrides")]
        seen: u64,
        /// The calls on this runner as the sender exchanges them with other dispatchers; empty if it does not.
        #[serde(default)]
        calls: Vec<AdminCall>,
    },
    /// What the two processes say about the upgrade itself.
    Upgrade(topazsail_upgrade::Message),
    /// A list of runners that the sender has received from discovery.
    #[serde(rename = "list")]
    Roster(PassedRoster),
    /// How far the sender has heard all that discovery announced.
    #[serde(rename = "sure")]
    RosterContact(PassedContact),
    /// The id of an invocation that the sender has accepted.
    #[serde(rename = "taken")]
    InvocationTaken(String),
}

/// The number that stands for all overrides of the receiver.
fn all_overrides() -> u64 {
    u64::MAX
}
