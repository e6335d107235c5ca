//! Properties of the object store of the simulated Kubernetes API server, without sockets.

use bellyoke_lab::platform::{
    Collection, LabelSelector, ObjectKey, ObjectStore, Preconditions, Refusal, Scope, StoreLimits,
};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;

const CREATION_TIMESTAMP: &str = "2026-01-01T00:00:00Z";
const NAMES: [&str; 3] = ["a", "b", "c"];

fn collection() -> Collection {
    Collection {
        group: "bellyoke.dev".to_owned(),
        version: "v1".to_owned(),
        plural: "backends".to_owned(),
    }
}

fn scope() -> Scope {
    Scope {
        collection: collection(),
        namespace: None,
    }
}

fn key(name: &str) -> ObjectKey {
    ObjectKey {
        collection: collection(),
        namespace: "default".to_owned(),
        name: name.to_owned(),
    }
}

fn store() -> ObjectStore {
    ObjectStore::new(StoreLimits::default(), 7)
}

fn version_of(object: &Value) -> u64 {
    object["metadata"]["resourceVersion"]
        .as_str()
        .unwrap()
        .parse()
        .unwrap()
}

/// Write by a client. A replacement is based on the object that the server returned `behind`
/// writes before the latest one.
#[derive(Clone, Debug)]
enum Write {
    Create {
        name: usize,
        weight: u32,
    },
    Replace {
        name: usize,
        weight: u32,
        behind: usize,
    },
    Delete {
        name: usize,
    },
}

fn write() -> impl Strategy<Value = Write> {
    let name = 0..NAMES.len();
    prop_oneof![
        (name.clone(), 0..5_u32).prop_map(|(name, weight)| Write::Create { name, weight }),
        (name.clone(), 0..5_u32, 0..3_usize).prop_map(|(name, weight, behind)| Write::Replace {
            name,
            weight,
            behind
        }),
        name.prop_map(|name| Write::Delete { name }),
    ]
}

/// All versions of each object that were returned to clients, oldest first.
type Reads = BTreeMap<&'static str, Vec<Value>>;

fn apply_write(store: &mut ObjectStore, reads: &Reads, write: &Write) -> Result<Value, Refusal> {
    match *write {
        Write::Create { name, weight } => store.create(
            &key(NAMES[name]),
            json!({ "spec": { "weight": weight } }),
            CREATION_TIMESTAMP,
        ),
        Write::Replace {
            name,
            weight,
            behind,
        } => {
            let read = reads
                .get(NAMES[name])
                .and_then(|reads| reads.iter().rev().nth(behind));
            let mut object = read
                .cloned()
                .unwrap_or_else(|| json!({ "metadata": { "resourceVersion": "1" }, "spec": {} }));
            object["spec"]["weight"] = weight.into();
            store.replace(&key(NAMES[name]), object)
        }
        Write::Delete { name } => store.delete(&key(NAMES[name]), &Preconditions::default()),
    }
}

fn name_of(write: &Write) -> &'static str {
    match *write {
        Write::Create { name, .. } | Write::Replace { name, .. } | Write::Delete { name } => {
            NAMES[name]
        }
    }
}

proptest! {
    #[test]
    fn versions_increase_with_each_change_and_failed_writes_have_no_effect(writes in prop::collection::vec(write(), 1..60)) {
        let mut store = store();
        let mut reads = Reads::new();
        for write in &writes {
            let before = store.version();
            let current = store.get(&key(name_of(write))).cloned().ok();
            let result = apply_write(&mut store, &reads, write);
            prop_assert!(store.version() >= before);
            match (write, &result) {
                (Write::Replace { .. }, Ok(object)) => {
                    let current = current.unwrap();
                    let changed = object["spec"] != current["spec"];
                    prop_assert_eq!(store.version(), before + u64::from(changed));
                    prop_assert_eq!(&object["metadata"]["uid"], &current["metadata"]["uid"]);
                }
                (_, Ok(_)) => prop_assert_eq!(store.version(), before + 1),
                (_, Err(_)) => {
                    prop_assert_eq!(store.version(), before);
                    prop_assert_eq!(store.get(&key(name_of(write))).ok(), current.as_ref());
                }
            }
            if let (Write::Create { .. } | Write::Replace { .. }, Ok(object)) = (write, result) {
                reads.entry(name_of(write)).or_default().push(object);
            }
        }
    }

    #[test]
    fn changes_after_a_past_list_lead_to_the_current_list(
        writes in prop::collection::vec(write(), 1..60),
        age in 0..80_u64,
    ) {
        let mut store = store();
        let mut reads = Reads::new();
        for write in &writes {
            if let Ok(object) = apply_write(&mut store, &reads, write) {
                reads.entry(name_of(write)).or_default().push(object);
            }
        }
        let past = store.list_past(&scope(), age);
        let mut objects: BTreeMap<String, Value> = past.items.into_iter().map(name_and_object).collect();
        let mut last_version = past.version;
        for change in store.changes_after(&scope(), past.version).unwrap() {
            prop_assert_eq!(change.version, last_version + 1);
            last_version = change.version;
            match &change.after {
                Some(object) => objects.insert(change.key.name.clone(), object.clone()),
                None => objects.remove(&change.key.name),
            };
        }
        let current: BTreeMap<String, Value> = store.list(&scope()).items.into_iter().map(name_and_object).collect();
        prop_assert_eq!(last_version, store.version());
        prop_assert_eq!(objects, current);
    }

    #[test]
    fn one_of_several_writes_based_on_the_same_version_takes_effect(weights in prop::collection::hash_set(1..1000_u32, 2..10)) {
        let mut store = store();
        let base = store.create(&key("a"), json!({ "spec": { "weight": 0 } }), CREATION_TIMESTAMP).unwrap();
        let results: Vec<_> = weights
            .iter()
            .map(|weight| {
                let mut object = base.clone();
                object["spec"]["weight"] = (*weight).into();
                store.replace(&key("a"), object)
            })
            .collect();
        let accepted = results.iter().filter(|result| result.is_ok());
        prop_assert_eq!(accepted.count(), 1);
        let conflicts = results.iter().filter(|result| matches!(result, Err(Refusal::Conflict { .. })));
        prop_assert_eq!(conflicts.count(), weights.len() - 1);
    }
}

fn name_and_object(object: Value) -> (String, Value) {
    (
        object["metadata"]["name"].as_str().unwrap().to_owned(),
        object,
    )
}

#[test]
fn history_is_bounded_and_watches_from_older_versions_expire() {
    let limits = StoreLimits {
        history: 2,
        ..StoreLimits::default()
    };
    let mut store = ObjectStore::new(limits, 7);
    for name in NAMES {
        store
            .create(&key(name), json!({}), CREATION_TIMESTAMP)
            .unwrap();
    }
    let expired = store.changes_after(&scope(), 1).err();
    assert_eq!(
        expired,
        Some(Refusal::Expired {
            version: 1,
            oldest: 2
        })
    );
    assert_eq!(store.changes_after(&scope(), 2).unwrap().count(), 2);
    let ahead = store.changes_after(&scope(), 9).err();
    assert_eq!(
        ahead,
        Some(Refusal::VersionAhead {
            version: 9,
            current: 4
        })
    );
}

#[test]
fn the_number_of_objects_is_bounded() {
    let limits = StoreLimits {
        objects: 1,
        ..StoreLimits::default()
    };
    let mut store = ObjectStore::new(limits, 7);
    store
        .create(&key("a"), json!({}), CREATION_TIMESTAMP)
        .unwrap();
    let refused = store.create(&key("b"), json!({}), CREATION_TIMESTAMP);
    assert_eq!(refused, Err(Refusal::Full { limit: 1 }));
}

#[test]
fn a_recreated_object_gets_a_different_uid() {
    let mut store = store();
    let first = store
        .create(&key("a"), json!({}), CREATION_TIMESTAMP)
        .unwrap();
    store.delete(&key("a"), &Preconditions::default()).unwrap();
    let second = store
        .create(&key("a"), json!({}), CREATION_TIMESTAMP)
        .unwrap();
    assert_ne!(first["metadata"]["uid"], second["metadata"]["uid"]);
    let preconditions = Preconditions {
        uid: first["metadata"]["uid"].as_str().map(str::to_owned),
        resource_version: None,
    };
    let refused = store.delete(&key("a"), &preconditions);
    assert!(matches!(refused, Err(Refusal::Conflict { .. })));
}

#[test]
fn the_generation_increases_only_when_the_spec_changes() {
    let mut store = store();
    let created = store
        .create(
            &key("a"),
            json!({ "spec": { "weight": 1 } }),
            CREATION_TIMESTAMP,
        )
        .unwrap();
    let mut labelled = created.clone();
    labelled["metadata"]["labels"] = json!({ "app": "shop" });
    let labelled = store.replace(&key("a"), labelled).unwrap();
    assert_eq!(labelled["metadata"]["generation"], 1);
    assert!(version_of(&labelled) > version_of(&created));
    let mut heavier = labelled;
    heavier["spec"]["weight"] = 2.into();
    let heavier = store.replace(&key("a"), heavier).unwrap();
    assert_eq!(heavier["metadata"]["generation"], 2);
    assert_eq!(store.replace(&key("a"), heavier.clone()), Ok(heavier));
}

#[test]
fn selectors_compare_labels_as_kubernetes_does() {
    let labels = BTreeMap::from([("app", "shop"), ("tier", "front")]);
    let cases = [
        ("", true),
        ("app=shop", true),
        ("app==shop,tier=front", true),
        ("app=shop,tier=back", false),
        ("app!=shop", false),
        ("zone!=a", true),
        ("app in (shop, bank)", true),
        ("app notin (shop,bank),tier", false),
        ("tier", true),
        ("!tier", false),
        ("!zone", true),
    ];
    for (text, expected) in cases {
        let selector = LabelSelector::parse(text).unwrap();
        assert_eq!(selector.matches(&labels), expected, "{text}");
    }
    assert!(LabelSelector::parse("app in shop").is_err());
    assert!(LabelSelector::parse("=shop").is_err());
}
