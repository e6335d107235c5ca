//! Whole commands against the object store stand-in.

use bellyoke_api::result_code::ResultCode;
use bellyoke_api::status::NodeStatus;
use bellyoke_cli::arguments::parse;
use bellyoke_cli::change;
use bellyoke_cli::command::run;
use bellyoke_cli::failure::Failure;
use bellyoke_cli::output::Report;
use bellyoke_cli::session::Session;
use bellyoke_core::generation::{ClusterParameters, compile};
use bellyoke_kube::kube_store::{KubeStore, KubeStoreOptions};
use bellyoke_kube::store::{GenerationDigest, GenerationStore, OperationId, PublishRequest};
use bellyoke_lab::platform::{FaultChange, Platform, Server, StoreLimits};
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_simple_router};
use http::StatusCode;
use kube::ResourceExt;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tempfile::NamedTempFile;
use tokio::net::TcpListener;

const OBJECTS: &str = "\
apiVersion: bellyoke.dev/v1
kind: Service
metadata: {name: till}
spec:
  address: 192.0.2.10
  port: 443
  protocol: TCP
  selectors:
  - matchLabels: {app: till}
---
apiVersion: bellyoke.dev/v1
kind: Backend
metadata: {name: till-1, labels: {app: till}}
spec: {tunnel: \"10.0.0.1:6081\"}
---
apiVersion: bellyoke.dev/v1
kind: Backend
metadata: {name: till-2, labels: {app: till}}
spec: {tunnel: \"10.0.0.1:6082\"}
";

/// A stand-in that holds the objects.
struct Bench {
    server: Server,
    _file: NamedTempFile,
}

impl Bench {
    async fn start() -> Self {
        let platform = Platform::new(StoreLimits::default(), 1, Duration::from_secs(1));
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Server::start(address, Arc::new(platform)).await.unwrap();
        let mut file = NamedTempFile::new().unwrap();
        file.write_all(OBJECTS.as_bytes()).unwrap();
        let path = file.path().to_str().unwrap().to_owned();
        let bench = Self {
            server,
            _file: file,
        };
        let report = bench.run(&format!("apply -f {path}")).await.unwrap();
        let start = report.text.lines().next().unwrap_or_default();
        assert!(
            start.starts_with("backend/till-1 written, version "),
            "{start}"
        );
        bench
    }

    async fn run(&self, line: &str) -> Result<Report, Failure> {
        let line = format!("{line} --platform http://{}", self.server.address);
        let words = line.split_whitespace().map(OsString::from);
        run(&parse(words)?).await
    }

    fn session(&self) -> Session {
        let words = [
            "--platform",
            &format!("http://{}", self.server.address),
            "get",
            "services",
        ];
        let arguments = parse(words.map(OsString::from)).unwrap();
        Session::connect(&arguments.options).unwrap()
    }

    /// Publishes the objects as generation 1, as a balancer would.
    async fn publish(&self) {
        let url = format!("http://{}", self.server.address);
        let options = KubeStoreOptions::new(&url, "default", "balancer");
        let store = KubeStore::connect(&options).unwrap();
        let objects = self.session().objects().await.unwrap();
        let parameters = ClusterParameters {
            flow_hash_seed: 1,
            groups: 16,
        };
        let desired = objects.convert(None).desired;
        let generation = compile(None, &desired, &[], &[], parameters)
            .unwrap()
            .generation;
        let request = PublishRequest {
            previous: None,
            number: generation.number,
            digest: GenerationDigest(generation.digest().0),
            content: generation.encode(),
            operation: OperationId("1".to_owned()),
        };
        store.publish(request).await.unwrap();
    }

    fn fault(&self, change: &FaultChange) {
        self.server.platform.change_faults(change);
    }

    /// Drain flag and version of a backend.
    async fn backend(&self, name: &str) -> (bool, String) {
        let objects = self.session().objects().await.unwrap();
        let backend = objects.backend(name).unwrap();
        (backend.spec.drain, backend.resource_version().unwrap())
    }
}

#[tokio::test]
async fn a_drain_is_written_and_read_back() {
    let bench = Bench::start().await;
    bench.run("drain till-1").await.unwrap();
    assert!(bench.backend("till-1").await.0);
    bench.run("undrain till-1").await.unwrap();
    assert!(!bench.backend("till-1").await.0);
    bench.run("delete backend till-1").await.unwrap();
    let failure = bench.run("drain till-1").await.unwrap_err();
    assert_eq!(failure.code, ResultCode::ObjectMissing);
}

#[tokio::test]
async fn a_dry_run_writes_nothing() {
    let bench = Bench::start().await;
    let before = bench.backend("till-1").await;
    let report = bench.run("drain till-1 --dry-run").await.unwrap();
    assert!(report.text.starts_with("would write backend/till-1\n"));
    assert_eq!(bench.backend("till-1").await, before);
}

#[tokio::test]
async fn a_refused_change_writes_nothing() {
    let bench = Bench::start().await;
    bench.run("label backend till-1 app=none").await.unwrap();
    let before = bench.backend("till-2").await;
    let line = "label backend till-2 app=none";
    let failure = bench.run(line).await.unwrap_err();
    assert_eq!(failure.code, ResultCode::EmptySelector);
    assert_eq!(bench.backend("till-2").await, before);
    bench
        .run(&format!("{line} --allow empty-selector"))
        .await
        .unwrap();
}

/// Of two operators who read the same version the second changes nothing.
#[tokio::test]
async fn the_second_operator_gets_the_first_ones_version() {
    let bench = Bench::start().await;
    let session = bench.session();
    let objects = session.objects().await.unwrap();
    let drain = change::set_drain(&objects, "till-1", true).unwrap();
    let same = change::set_drain(&objects, "till-1", false).unwrap();
    let version = session.write(&drain[0]).await.unwrap().unwrap();
    let failure = session.write(&same[0]).await.unwrap_err();
    assert_eq!(failure.code, ResultCode::Conflict);
    let named = format!("is now at {version} by operation ");
    assert!(failure.message.contains(&named), "{failure}");
    assert_eq!(bench.backend("till-1").await, (true, version));
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_reading_back() {
    let bench = Bench::start().await;
    bench.fault(&FaultChange {
        lose_answer_after_effect: Some(1),
        ..FaultChange::default()
    });
    let report = bench.run("drain till-1").await.unwrap();
    let (drain, version) = bench.backend("till-1").await;
    assert!(drain);
    let written = format!("backend/till-1 written, version {version}\n");
    assert!(report.text.starts_with(&written), "{}", report.text);
}

#[tokio::test]
async fn a_platform_that_is_down_is_named() {
    let bench = Bench::start().await;
    bench.fault(&FaultChange {
        down: Some(true),
        ..FaultChange::default()
    });
    let failure = bench.run("drain till-1").await.unwrap_err();
    assert_eq!(failure.code, ResultCode::PlatformUnreachable);
}

#[tokio::test]
async fn a_balancer_that_is_not_there_is_named() {
    let bench = Bench::start().await;
    let line = "nodes --balancer http://127.0.0.1:1";
    let failure = bench.run(line).await.unwrap_err();
    assert_eq!(failure.code, ResultCode::BalancerUnreachable);
}

/// A balancer's operator API that always tells the same. Returns its URL.
async fn balancer(barrier: u64) -> String {
    let status = NodeStatus {
        node: 1,
        zone: "cork".to_owned(),
        generation: barrier,
        acknowledged: barrier,
        barrier,
        services_revision: 0,
        backends_revision: 0,
        lease_valid: true,
        leaving: false,
        members: Vec::new(),
        services: Vec::new(),
        backends: Vec::new(),
        control_bytes_per_second: 0,
        control_budget_bytes_per_second: 0,
        counters: BTreeMap::new(),
    };
    let body = serde_json::to_string(&status).unwrap();
    let router = build_simple_router(|route| {
        route.get("/v1/status").to_new_handler(move || {
            let body = body.clone();
            Ok(move |state| (state, (StatusCode::OK, mime::APPLICATION_JSON, body)))
        });
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(gotham::bind_server(listener, router, |stream| {
        futures::future::ready(Ok(stream))
    }));
    format!("http://{address}")
}

#[tokio::test]
async fn a_rollout_is_complete_when_the_barrier_has_passed() {
    let bench = Bench::start().await;
    let status = format!("rollout status --balancer {}", balancer(1).await);
    let failure = bench.run(&status).await.unwrap_err();
    assert_eq!(failure.message, "the last change is not published yet");
    bench.publish().await;
    let report = bench.run(&status).await.unwrap();
    assert_eq!(report.text, "generation 1 is in force on all balancers\n");
    let behind = format!("rollout status --balancer {}", balancer(0).await);
    let failure = bench.run(&behind).await.unwrap_err();
    assert_eq!(failure.code, ResultCode::RolloutTimeout);
    bench.run("drain till-1").await.unwrap();
    let failure = bench.run(&status).await.unwrap_err();
    assert_eq!(failure.message, "the last change is not published yet");
}

#[tokio::test]
async fn lists_show_what_is_in_force() {
    let bench = Bench::start().await;
    bench.publish().await;
    let report = bench.run("get backends").await.unwrap();
    insta::assert_snapshot!(report.text, @"
    NAME    TUNNEL         ZONE  WEIGHT  STATE   SERVICE  LABELS
    till-1  10.0.0.1:6081        100     active  till     app=till
    till-2  10.0.0.1:6082        100     active  till     app=till
    ");
    let report = bench.run("get generation --output json").await.unwrap();
    assert_eq!(report.json["number"], 1);
    assert_eq!(report.json["backends"], 2);
    let nodes = format!("nodes --balancer {}", balancer(1).await);
    let report = bench.run(&nodes).await.unwrap();
    assert!(
        report
            .text
            .starts_with("asked node 0000000000000001 in zone cork: generation 1")
    );
}
