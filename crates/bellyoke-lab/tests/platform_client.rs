//! The Kubernetes API client of `bellyoke-kube` against the simulated API server of the lab, over
//! loopback.

use bellyoke_core::generation::Zone;
use bellyoke_core::identity::{GenerationNumber, NodeId};
use bellyoke_kube::kinds::{Backend, BackendSpec, Service, ServiceSpec};
use bellyoke_kube::kube_store::{DeleteOutcome, KubeStore, KubeStoreOptions, WriteOutcome};
use bellyoke_kube::store::{
    BalancerDirectory, BalancerRecord, DesiredState, GenerationDigest, GenerationStore,
    ObjectReader, OperationId, PublishOutcome, PublishRequest, StoreError, StoredGeneration,
    Subscription,
};
use bellyoke_lab::platform::{FaultChange, LostAnswer, Platform, Server, StoreLimits};
use std::sync::Arc;
use std::time::Duration;

const NAMESPACE: &str = "default";

async fn start_server() -> Server {
    let limits = StoreLimits::default();
    let platform = Platform::new(limits, 1, Duration::from_millis(10));
    let address = "127.0.0.1:0".parse().unwrap();
    Server::start(address, Arc::new(platform)).await.unwrap()
}

fn options(server: &Server, user_agent: &str) -> KubeStoreOptions {
    let url = format!("http://{}", server.address);
    KubeStoreOptions {
        debounce: Duration::from_millis(1),
        reconnect_ceiling: Duration::from_millis(20),
        ..KubeStoreOptions::new(&url, NAMESPACE, user_agent)
    }
}

fn client(server: &Server, user_agent: &str) -> KubeStore {
    KubeStore::connect(&options(server, user_agent)).unwrap()
}

fn operation(name: &str) -> OperationId {
    OperationId(name.to_owned())
}

fn request(previous: Option<&StoredGeneration>, number: u64, name: &str) -> PublishRequest {
    PublishRequest {
        previous: previous.map(|previous| previous.resource_version.clone()),
        number: GenerationNumber(number),
        digest: GenerationDigest([number as u8; 32]),
        content: name.as_bytes().to_vec(),
        operation: operation(name),
    }
}

fn expect_accepted(outcome: PublishOutcome) -> StoredGeneration {
    match outcome {
        PublishOutcome::Accepted(stored) => stored,
        other => panic!("publication was not accepted: {other:?}"),
    }
}

fn backend(name: &str, tunnel: &str) -> Backend {
    let spec = BackendSpec {
        tunnel: tunnel.to_owned(),
        zone: "zone-a".to_owned(),
        weight: 100,
        drain: false,
    };
    Backend::new(name, spec)
}

fn service(name: &str, address: &str) -> Service {
    let spec: ServiceSpec = serde_json::from_value(serde_json::json!({
        "address": address, "port": 80, "protocol": "TCP",
    }))
    .unwrap();
    Service::new(name, spec)
}

async fn create_backend(store: &KubeStore, name: &str) -> Backend {
    let object = backend(name, "127.0.0.1:7000");
    match store.write(&object, &operation(name)).await.unwrap() {
        WriteOutcome::Accepted(stored) => stored,
        other => panic!("write was not accepted: {other:?}"),
    }
}

fn backend_names(state: &DesiredState) -> Vec<&str> {
    let backends = state.backends.iter();
    backends.map(|backend| backend.name.as_str()).collect()
}

/// Waits for a state that has exactly these backends and checks that revisions never decrease.
async fn wait_for_backends(
    objects: &mut Subscription<DesiredState>,
    names: &[&str],
) -> Arc<DesiredState> {
    let mut last = 0;
    loop {
        let state = objects.next().await.unwrap();
        assert!(
            state.revision.backends >= last,
            "backend revision decreased"
        );
        last = state.revision.backends;
        if backend_names(&state) == names {
            return state;
        }
    }
}

fn change_faults(server: &Server, change: FaultChange) {
    server.platform.change_faults(&change);
}

#[tokio::test]
async fn one_of_two_concurrent_publishers_gets_a_conflict_with_the_accepted_generation() {
    let server = start_server().await;
    let first = client(&server, "first");
    let second = client(&server, "second");
    let base = expect_accepted(first.publish(request(None, 1, "base")).await.unwrap());
    let (one, other) = tokio::join!(
        first.publish(request(Some(&base), 2, "one")),
        second.publish(request(Some(&base), 2, "other")),
    );
    let (winner, conflicting) = match (one.unwrap(), other.unwrap()) {
        (PublishOutcome::Accepted(winner), PublishOutcome::Conflict(conflicting))
        | (PublishOutcome::Conflict(conflicting), PublishOutcome::Accepted(winner)) => {
            (winner, conflicting)
        }
        outcomes => panic!("expected one accepted and one conflicting publication: {outcomes:?}"),
    };
    assert_eq!(winner, conflicting);
    assert_eq!(first.current_generation().await.unwrap(), Some(winner));
}

#[tokio::test]
async fn a_publication_whose_answer_is_lost_is_accepted_exactly_once() {
    for lost_answer in [LostAnswer::Broken, LostAnswer::GatewayTimeout] {
        let server = start_server().await;
        let store = client(&server, "publisher");
        change_faults(
            &server,
            FaultChange {
                lose_answer_after_effect: Some(1),
                lost_answer: Some(lost_answer),
                ..FaultChange::default()
            },
        );
        let stored = expect_accepted(store.publish(request(None, 1, "only")).await.unwrap());
        assert_eq!(stored.number, GenerationNumber(1));
        assert_eq!(stored.content, b"only");
        let contents = server.platform.contents();
        let writes = &contents.audit.writes;
        assert_eq!(
            writes.len(),
            1,
            "the write should be sent exactly once: {writes:?}"
        );
        assert_eq!(writes[0].operation_id.as_deref(), Some("only"));
        assert_eq!(writes[0].code, None);
    }
}

#[tokio::test]
async fn a_write_without_effect_is_retried_after_a_read() {
    let server = start_server().await;
    let store = client(&server, "publisher");
    let base = expect_accepted(store.publish(request(None, 1, "base")).await.unwrap());
    change_faults(
        &server,
        FaultChange {
            conflict_next: Some(1),
            ..FaultChange::default()
        },
    );
    let stored = expect_accepted(
        store
            .publish(request(Some(&base), 2, "next"))
            .await
            .unwrap(),
    );
    assert_eq!(stored.number, GenerationNumber(2));
    let contents = server.platform.contents();
    let codes: Vec<_> = contents
        .audit
        .writes
        .iter()
        .map(|write| write.code)
        .collect();
    assert_eq!(codes, [Some(201), Some(409), Some(200)]);
}

#[tokio::test]
async fn a_publication_while_the_store_is_down_has_an_unknown_outcome() {
    let server = start_server().await;
    let store = KubeStore::connect(&KubeStoreOptions {
        write_retries: 2,
        ..options(&server, "publisher")
    })
    .unwrap();
    change_faults(
        &server,
        FaultChange {
            down: Some(true),
            ..FaultChange::default()
        },
    );
    let outcome = store.publish(request(None, 1, "lost")).await.unwrap();
    assert_eq!(outcome, PublishOutcome::Unknown);
    assert!(matches!(
        store.current_generation().await,
        Err(StoreError::Unavailable { .. })
    ));
}

#[tokio::test]
async fn no_change_is_lost_when_watches_are_disconnected() {
    let server = start_server().await;
    let store = client(&server, "reader");
    let mut objects = store.watch_objects();
    wait_for_backends(&mut objects, &[]).await;
    let mut names = Vec::new();
    for index in 0..10 {
        let name = format!("backend-{index}");
        change_faults(
            &server,
            FaultChange {
                cut_watches: true,
                ..FaultChange::default()
            },
        );
        create_backend(&store, &name).await;
        names.push(name);
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    wait_for_backends(&mut objects, &names).await;
}

#[tokio::test]
async fn a_stale_list_is_ignored() {
    let server = start_server().await;
    let store = client(&server, "reader");
    let mut objects = store.watch_objects();
    create_backend(&store, "old").await;
    let state = wait_for_backends(&mut objects, &["old"]).await;
    change_faults(
        &server,
        FaultChange {
            stale_list: Some(true),
            stale_versions: Some(1),
            ..FaultChange::default()
        },
    );
    let lists_before = list_count(&server, "reader");
    create_backend(&store, "new").await;
    create_backend(&store, "newer").await;
    let seen = wait_for_backends(&mut objects, &["new", "newer", "old"]).await;
    assert!(seen.revision.backends > state.revision.backends);
    let deleted = store.read::<Backend>("old").await.unwrap().unwrap();
    store.delete(&deleted).await.unwrap();
    wait_for_backends(&mut objects, &["new", "newer"]).await;
    // A reader that starts now accepts the stale list, because it has no newer state, and receives
    // the later changes from its watch.
    let other = client(&server, "other");
    let mut others = other.watch_objects();
    wait_for_backends(&mut others, &["new", "newer"]).await;
    assert_eq!(
        list_count(&server, "reader"),
        lists_before,
        "the running reader should not list again"
    );
}

#[tokio::test]
async fn stale_lists_after_an_expired_watch_are_ignored() {
    let server = start_server().await;
    let store = client(&server, "reader");
    let mut objects = store.watch_objects();
    create_backend(&store, "kept").await;
    create_backend(&store, "deleted").await;
    wait_for_backends(&mut objects, &["deleted", "kept"]).await;
    change_faults(
        &server,
        FaultChange {
            down: Some(true),
            ..FaultChange::default()
        },
    );
    delete_in_store(&server, "deleted");
    change_faults(
        &server,
        FaultChange {
            stale_list: Some(true),
            stale_versions: Some(2),
            ..FaultChange::default()
        },
    );
    let lists_before = list_count(&server, "reader");
    change_faults(
        &server,
        FaultChange {
            down: Some(false),
            expire_watches: true,
            ..FaultChange::default()
        },
    );
    // The reader repeatedly requests the stale list and ignores it.
    wait_until(|| list_count(&server, "reader") > lists_before + 2).await;
    assert_eq!(
        backend_names(&objects.latest().unwrap()),
        ["deleted", "kept"]
    );
    change_faults(
        &server,
        FaultChange {
            stale_list: Some(false),
            ..FaultChange::default()
        },
    );
    wait_for_backends(&mut objects, &["kept"]).await;
}

#[tokio::test]
async fn a_refresh_updates_the_revision_without_a_change_of_objects() {
    let platform = Platform::new(StoreLimits::default(), 1, Duration::from_secs(3600));
    let address = "127.0.0.1:0".parse().unwrap();
    let server = Server::start(address, Arc::new(platform)).await.unwrap();
    let store = client(&server, "reader");
    let mut objects = store.watch_objects();
    let first = wait_for_backends(&mut objects, &[]).await;
    store.publish(request(None, 1, "other kind")).await.unwrap();
    store.refresh_objects();
    // Each kind is listed separately, so the two revisions may increase in different updates.
    loop {
        let revision = objects.next().await.unwrap().revision;
        let services = revision.services > first.revision.services;
        if services && revision.backends > first.revision.backends {
            break;
        }
    }
}

#[tokio::test]
async fn the_last_state_is_kept_while_the_store_is_down() {
    let server = start_server().await;
    let store = client(&server, "reader");
    let mut objects = store.watch_objects();
    create_backend(&store, "first").await;
    wait_for_backends(&mut objects, &["first"]).await;
    change_faults(
        &server,
        FaultChange {
            down: Some(true),
            ..FaultChange::default()
        },
    );
    assert!(store.list::<Backend>().await.is_err());
    assert_eq!(backend_names(&objects.latest().unwrap()), ["first"]);
    change_faults(
        &server,
        FaultChange {
            down: Some(false),
            ..FaultChange::default()
        },
    );
    create_backend(&store, "second").await;
    wait_for_backends(&mut objects, &["first", "second"]).await;
}

#[tokio::test]
async fn an_invalid_object_is_reported_and_other_objects_are_read() {
    let server = start_server().await;
    let store = client(&server, "reader");
    let mut objects = store.watch_objects();
    let with_host_name = service("named", "balancer.example");
    store.write(&with_host_name, &operation("1")).await.unwrap();
    let with_address = service("good", "198.51.100.1");
    store.write(&with_address, &operation("2")).await.unwrap();
    let state = loop {
        let state = objects.next().await.unwrap();
        if state.services.len() + state.invalid.len() == 2 {
            break state;
        }
    };
    assert_eq!(state.services[0].name, "good");
    assert_eq!(
        state.invalid[0].to_string(),
        "Service \"named\": spec.address: \"balancer.example\" is not an IP address \
         (host names are not allowed)"
    );
}

#[tokio::test]
async fn watched_generation_numbers_only_increase() {
    let server = start_server().await;
    let store = client(&server, "publisher");
    let mut generations = store.watch_generation();
    let mut previous = None;
    for number in 1..=5 {
        let name = format!("operation-{number}");
        let published = store
            .publish(request(previous.as_ref(), number, &name))
            .await;
        previous = Some(expect_accepted(published.unwrap()));
        change_faults(
            &server,
            FaultChange {
                cut_watches: true,
                ..FaultChange::default()
            },
        );
    }
    let mut last = GenerationNumber(0);
    while last < GenerationNumber(5) {
        let generation = generations.next().await.unwrap();
        assert!(generation.number > last);
        last = generation.number;
    }
}

#[tokio::test]
async fn a_write_or_delete_based_on_an_outdated_object_gets_a_conflict() {
    let server = start_server().await;
    let first = client(&server, "first");
    let second = client(&server, "second");
    let stored = create_backend(&first, "shared").await;
    let mut drained = stored.clone();
    drained.spec.drain = true;
    let mut heavier = stored.clone();
    heavier.spec.weight = 200;
    first.write(&drained, &operation("drain")).await.unwrap();
    let outcome = second.write(&heavier, &operation("weight")).await.unwrap();
    let WriteOutcome::Conflict { newer, overtaken } = outcome else {
        panic!("expected a conflict: {outcome:?}");
    };
    assert!(newer.spec.drain);
    assert!(!overtaken);
    let stale = second.delete(&stored).await.unwrap();
    assert!(matches!(stale, DeleteOutcome::Conflict(_)));
    let done = second.delete(&newer).await.unwrap();
    assert!(matches!(done, DeleteOutcome::Accepted));
}

#[tokio::test]
async fn a_balancer_registers_updates_and_withdraws_its_record() {
    let server = start_server().await;
    let store = client(&server, "balancer");
    let mut record = BalancerRecord {
        node: NodeId(u64::MAX),
        data_address: "127.0.0.1:6000".parse().unwrap(),
        peer_address: "127.0.0.1:6001".parse().unwrap(),
        zone: Zone("zone-a".to_owned()),
        leaving: false,
    };
    store.register(record.clone()).await.unwrap();
    record.leaving = true;
    change_faults(
        &server,
        FaultChange {
            lose_answer_after_effect: Some(1),
            ..FaultChange::default()
        },
    );
    store.register(record.clone()).await.unwrap();
    assert_eq!(store.list_balancers().await.unwrap(), [record.clone()]);
    store.withdraw(record.node).await.unwrap();
    store.withdraw(record.node).await.unwrap();
    assert_eq!(store.list_balancers().await.unwrap(), []);
}

/// Yields to other tasks until `condition` is true.
async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::task::yield_now().await;
    }
}

fn list_count(server: &Server, user_agent: &str) -> u64 {
    let contents = server.platform.contents();
    let client = contents.audit.clients.get(user_agent);
    client.map_or(0, |counts| counts.lists)
}

fn delete_in_store(server: &Server, name: &str) {
    use bellyoke_lab::platform::{Collection, ObjectKey, Preconditions};
    let key = ObjectKey {
        collection: Collection {
            group: "bellyoke.dev".to_owned(),
            version: "v1".to_owned(),
            plural: "backends".to_owned(),
        },
        namespace: NAMESPACE.to_owned(),
        name: name.to_owned(),
    };
    let mut contents = server.platform.contents();
    contents
        .store
        .delete(&key, &Preconditions::default())
        .unwrap();
}
