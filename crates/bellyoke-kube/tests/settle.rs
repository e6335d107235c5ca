//! How lost answers are settled, without sockets.

use bellyoke_core::time::Timestamp;
use bellyoke_kube::settle::{
    ReadAnswer, ReadBack, RetryBudget, RetryContext, Settled, Settlement, Step, WriteAnswer,
};
use bellyoke_kube::store::ResourceVersion;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// The store's object: who wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Writer {
    Own,
    Other,
}

const RETRIES: u32 = 6;

fn version(number: u64) -> ResourceVersion {
    ResourceVersion(number.to_string())
}

fn found(object: Writer, number: u64) -> ReadAnswer<Writer> {
    ReadAnswer::Found(ReadBack {
        object,
        version: version(number),
        ours: object == Writer::Own,
    })
}

struct Retries {
    budget: RetryBudget,
    random: SmallRng,
}

impl Retries {
    fn new(budget: u32) -> Self {
        Self {
            budget: RetryBudget::new(budget, Duration::from_secs(1)),
            random: SmallRng::seed_from_u64(1),
        }
    }

    fn context(&mut self) -> RetryContext<'_, SmallRng> {
        RetryContext {
            budget: &mut self.budget,
            now: Timestamp::ZERO,
            random: &mut self.random,
        }
    }
}

#[test]
fn a_lost_answer_is_read_back_and_not_written_again() {
    let mut retries = Retries::new(10);
    let mut settlement = Settlement::new(Some(version(1)), RETRIES);
    let step = settlement.on_write(WriteAnswer::Lost, &mut retries.context());
    assert!(matches!(step, Step::<Writer>::Read { .. }));
    let step = settlement.on_read(found(Writer::Own, 2), &mut retries.context());
    assert_eq!(step, Step::Done(Settled::Accepted(Writer::Own)));
}

#[test]
fn an_unchanged_object_allows_the_same_write_again() {
    let mut retries = Retries::new(10);
    let mut settlement = Settlement::new(Some(version(1)), RETRIES);
    settlement.on_write::<Writer, _>(WriteAnswer::Lost, &mut retries.context());
    let step = settlement.on_read(found(Writer::Other, 1), &mut retries.context());
    assert!(matches!(step, Step::Write { .. }));
    // The first write came late after all.
    let step = settlement.on_write(WriteAnswer::Conflict, &mut retries.context());
    assert_eq!(
        step,
        Step::<Writer>::Read {
            delay: Duration::ZERO
        }
    );
    let step = settlement.on_read(found(Writer::Own, 2), &mut retries.context());
    assert_eq!(step, Step::Done(Settled::Accepted(Writer::Own)));
}

#[test]
fn a_conflict_names_the_newer_object_and_whether_the_own_may_have_been_in_force() {
    let mut retries = Retries::new(10);
    let newer = Writer::Other;
    let mut sure = Settlement::new(Some(version(1)), RETRIES);
    sure.on_write::<Writer, _>(WriteAnswer::Conflict, &mut retries.context());
    let step = sure.on_read(found(newer, 2), &mut retries.context());
    assert_eq!(
        step,
        Step::Done(Settled::Conflict {
            newer,
            overtaken: false
        })
    );
    let mut unsure = Settlement::new(Some(version(1)), RETRIES);
    unsure.on_write::<Writer, _>(WriteAnswer::Lost, &mut retries.context());
    let step = unsure.on_read(found(newer, 3), &mut retries.context());
    assert_eq!(
        step,
        Step::Done(Settled::Conflict {
            newer,
            overtaken: true
        })
    );
}

#[test]
fn a_refusal_after_a_lost_answer_leaves_the_outcome_open() {
    let mut retries = Retries::new(10);
    let mut sure = Settlement::new(None, RETRIES);
    let step = sure.on_write::<Writer, _>(WriteAnswer::Refused, &mut retries.context());
    assert_eq!(step, Step::Done(Settled::Refused));
    let mut unsure = Settlement::new(None, RETRIES);
    unsure.on_write::<Writer, _>(WriteAnswer::Lost, &mut retries.context());
    unsure.on_read::<Writer, _>(ReadAnswer::Missing, &mut retries.context());
    let step = unsure.on_write::<Writer, _>(WriteAnswer::Refused, &mut retries.context());
    assert_eq!(step, Step::Done(Settled::Unknown));
}

#[test]
fn an_object_that_was_deleted_is_not_created_again() {
    let mut retries = Retries::new(10);
    let mut settlement = Settlement::new(Some(version(1)), RETRIES);
    settlement.on_write::<Writer, _>(WriteAnswer::Conflict, &mut retries.context());
    let step = settlement.on_read::<Writer, _>(ReadAnswer::Missing, &mut retries.context());
    assert_eq!(step, Step::Done(Settled::Deleted));
}

#[test]
fn the_budget_of_the_process_ends_the_retries_and_fills_up_again() {
    let mut retries = Retries::new(1);
    let mut settlement = Settlement::new(Some(version(1)), RETRIES);
    let step = settlement.on_write::<Writer, _>(WriteAnswer::Lost, &mut retries.context());
    assert!(matches!(step, Step::Read { .. }));
    let step = settlement.on_read::<Writer, _>(ReadAnswer::Lost, &mut retries.context());
    assert_eq!(step, Step::Done(Settled::Unknown));
    let second = Timestamp::ZERO.after(Duration::from_secs(1));
    assert!(retries.budget.take(second));
    assert!(!retries.budget.take(second));
    let hour = Timestamp::ZERO.after(Duration::from_secs(3600));
    assert!(retries.budget.take(hour));
    assert!(!retries.budget.take(hour), "never above its capacity");
}

/// What the network does to one request.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    AnswerLost,
    RequestLost,
    /// It arrives just before the next request.
    Delayed,
    OtherWritesFirst,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        Just(Fate::Answered),
        Just(Fate::AnswerLost),
        Just(Fate::RequestLost),
        Just(Fate::Delayed),
        Just(Fate::OtherWritesFirst),
    ]
}

/// A store with one object, which counts how often the own write took effect.
struct FakeStore {
    version: u64,
    writer: Writer,
    effects: u32,
    delayed: bool,
}

impl FakeStore {
    fn write(&mut self, fate: Fate) -> WriteAnswer<Writer> {
        self.deliver_delayed();
        match fate {
            Fate::RequestLost => return WriteAnswer::Lost,
            Fate::Delayed => {
                self.delayed = true;
                return WriteAnswer::Lost;
            }
            Fate::OtherWritesFirst => self.other_writes(),
            Fate::Answered | Fate::AnswerLost => {}
        }
        let stored = self.own_write();
        match (fate, stored) {
            (Fate::AnswerLost, _) => WriteAnswer::Lost,
            (_, true) => WriteAnswer::Stored(Writer::Own),
            (_, false) => WriteAnswer::Conflict,
        }
    }

    fn read(&mut self, fate: Fate) -> ReadAnswer<Writer> {
        self.deliver_delayed();
        match fate {
            Fate::AnswerLost | Fate::RequestLost | Fate::Delayed => return ReadAnswer::Lost,
            Fate::OtherWritesFirst => self.other_writes(),
            Fate::Answered => {}
        }
        found(self.writer, self.version)
    }

    fn deliver_delayed(&mut self) {
        if std::mem::take(&mut self.delayed) {
            self.own_write();
        }
    }

    fn other_writes(&mut self) {
        self.version += 1;
        self.writer = Writer::Other;
    }

    /// Whether it took effect.
    fn own_write(&mut self) -> bool {
        let stored = self.version == 1;
        if stored {
            self.version += 1;
            self.writer = Writer::Own;
            self.effects += 1;
        }
        stored
    }
}

proptest! {
    #[test]
    fn a_write_takes_effect_once_at_most_and_its_outcome_is_true(
        fates in prop::collection::vec(fate(), 40),
    ) {
        let mut retries = Retries::new(100);
        let mut settlement = Settlement::new(Some(version(1)), RETRIES);
        let mut store = FakeStore { version: 1, writer: Writer::Other, effects: 0, delayed: false };
        let mut step = Step::Write { delay: Duration::ZERO };
        let mut fates = fates.into_iter();
        let settled = loop {
            let fate = fates.next().expect("bounded by the retries");
            step = match step {
                Step::Write { .. } => settlement.on_write(store.write(fate), &mut retries.context()),
                Step::Read { .. } => settlement.on_read(store.read(fate), &mut retries.context()),
                Step::Done(settled) => break settled,
            };
        };
        prop_assert!(store.effects <= 1);
        match settled {
            Settled::Accepted(writer) => {
                prop_assert_eq!(writer, Writer::Own);
                prop_assert_eq!(store.effects, 1);
            }
            Settled::Conflict { overtaken: false, .. } => prop_assert_eq!(store.effects, 0),
            Settled::Conflict { overtaken: true, .. } | Settled::Unknown => {}
            other => prop_assert!(false, "unexpected: {:?}", other),
        }
    }
}
