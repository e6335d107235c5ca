//! Faults on switches.

use serde::{Deserialize, Serialize};

/// How an answer is lost after its request took effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LostAnswer {
    /// The connection breaks within the answer.
    #[default]
    Broken,
    /// A gateway answers 504.
    GatewayTimeout,
}

/// The faults that are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Faults {
    /// All requests of the object API fail with 503 and watches end.
    pub down: bool,
    /// Delay of each answer of the object API, milliseconds.
    pub delay_ms: u64,
    /// Number of writes whose answers will be lost after they took effect.
    pub lose_answer_after_effect: u32,
    /// How they are lost.
    pub lost_answer: LostAnswer,
    /// Number of writes that will get a conflict without effect.
    pub conflict_next: u32,
    /// Lists are answered from the past.
    pub stale_list: bool,
    /// How many versions such a list is behind.
    pub stale_versions: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            delay_ms: 0,
            lose_answer_after_effect: 0,
            lost_answer: LostAnswer::default(),
            conflict_next: 0,
            stale_list: false,
            stale_versions: 10,
        }
    }
}

/// A change of the switches: what isn't named stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// See [`Faults::down`].
    pub down: Option<bool>,
    /// See [`Faults::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`Faults::lose_answer_after_effect`].
    pub lose_answer_after_effect: Option<u32>,
    /// See [`Faults::lost_answer`].
    pub lost_answer: Option<LostAnswer>,
    /// See [`Faults::conflict_next`].
    pub conflict_next: Option<u32>,
    /// See [`Faults::stale_list`].
    pub stale_list: Option<bool>,
    /// See [`Faults::stale_versions`].
    pub stale_versions: Option<u64>,
    /// Ends all watches that are open now.
    pub cut_watches: bool,
    /// Watches from versions before now get 410.
    pub expire_watches: bool,
}

impl Faults {
    /// Takes over what the change names.
    pub fn apply(&mut self, change: &FaultChange) {
        take(&mut self.down, change.down);
        take(&mut self.delay_ms, change.delay_ms);
        take(
            &mut self.lose_answer_after_effect,
            change.lose_answer_after_effect,
        );
        take(&mut self.lost_answer, change.lost_answer);
        take(&mut self.conflict_next, change.conflict_next);
        take(&mut self.stale_list, change.stale_list);
        take(&mut self.stale_versions, change.stale_versions);
    }

    /// Whether this write gets a conflict without effect.
    pub const fn take_conflict(&mut self) -> bool {
        let on = self.conflict_next > 0;
        self.conflict_next = self.conflict_next.saturating_sub(1);
        on
    }

    /// How the answer to this write, which took effect, is lost.
    pub fn take_lost_answer(&mut self) -> Option<LostAnswer> {
        let on = self.lose_answer_after_effect > 0;
        self.lose_answer_after_effect = self.lose_answer_after_effect.saturating_sub(1);
        on.then_some(self.lost_answer)
    }
}

fn take<T>(target: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *target = value;
    }
}
