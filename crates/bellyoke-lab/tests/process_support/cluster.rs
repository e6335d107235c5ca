//! A cluster of processes with its callers, and queries of its state.

use super::child::{Child, run_to_completion};
use super::http::HttpClient;
use super::ports::free_block;
use bellyoke_api::status::NodeStatus;
use bellyoke_lab::backend::BackendReport;
use bellyoke_lab::caller::{CallerReport, Counts};
use bellyoke_lab::verdict::Verdict;
use serde_json::{Value, json};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Output;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Timeout of each wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const BALANCER_COUNT: u16 = 3;
const TILL_BACKEND_COUNT: u16 = 4;
const LISTINGS_BACKEND_COUNT: u16 = 2;
const ZONES: [&str; 3] = ["cork", "limerick", "kerry"];
const TILL_ADDRESS: &str = "192.0.2.10";
const LISTINGS_ADDRESS: &str = "192.0.2.20";
const CALLER_PREFIX: &str = "203.0.113.0/24";

/// Ensures that one cluster runs at a time: on an overloaded machine, balancers would seem to fail.
static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

/// Three balancers, six backends, a platform, a fabric and a caller process, all of which are killed on drop.
pub struct Cluster {
    /// The balancers by index.
    pub balancers: Vec<Child>,
    caller: Option<Child>,
    other_processes: Vec<Child>,
    directory: PathBuf,
    first_port: u16,
    http: HttpClient,
    _lock: MutexGuard<'static, ()>,
}

impl Cluster {
    /// Starts all processes but the callers, then waits until all balancers are ready and no bucket is contested.
    pub fn start(name: &str) -> Self {
        let lock = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("process-{name}"));
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory).expect("create the log directory");
        let mut cluster = Self {
            balancers: Vec::new(),
            caller: None,
            other_processes: Vec::new(),
            directory,
            first_port: free_block(),
            http: HttpClient::new(),
            _lock: lock,
        };
        cluster.start_platform();
        cluster.start_backends();
        cluster.start_balancers();
        cluster.start_fabric();
        cluster.run_cli(&["rollout", "status", "--wait", "--timeout", "20"]);
        cluster.wait_for_uncontested_buckets();
        cluster
    }

    /// Returns the address of the port at this offset in the block.
    fn address(&self, offset: u16) -> String {
        format!("127.0.0.1:{}", self.first_port + offset)
    }

    fn platform_url(&self) -> String {
        format!("http://{}", self.address(0))
    }

    fn fabric_address(&self) -> String {
        self.address(1)
    }

    fn fabric_admin_address(&self) -> String {
        self.address(2)
    }

    fn caller_tunnel_address(&self) -> String {
        self.address(3)
    }

    fn caller_control_url(&self) -> String {
        format!("http://{}", self.address(4))
    }

    /// Returns the address of the data (0), peer (1) or API (2) socket of a balancer.
    fn balancer_address(&self, index: u16, socket: u16) -> String {
        self.address(5 + 3 * index + socket)
    }

    fn backend_tunnel_address(&self, index: u16) -> String {
        self.address(20 + index)
    }

    fn backend_admin_address(&self, index: u16) -> String {
        self.address(30 + index)
    }

    fn spawn(&self, name: &str, program: &str, arguments: &[&str]) -> Child {
        let arguments: Vec<String> = arguments
            .iter()
            .map(|&argument| argument.to_owned())
            .collect();
        let log = self.directory.join(format!("{name}.log"));
        Child::start(program, &arguments, &log)
    }

    fn start_platform(&mut self) {
        let arguments = ["platform", "--listen", &self.address(0)];
        let platform = self.spawn("platform", "bellyoke-lab", &arguments);
        self.other_processes.push(platform);
        let url = format!("{}/faults", self.platform_url());
        self.wait_until("the platform to be ready", || self.http.succeeds(&url));
    }

    fn start_backends(&mut self) {
        let mut objects = vec![
            service_object("till", TILL_ADDRESS),
            service_object("listings", LISTINGS_ADDRESS),
        ];
        for index in 0..TILL_BACKEND_COUNT + LISTINGS_BACKEND_COUNT {
            let app = if index < TILL_BACKEND_COUNT {
                "till"
            } else {
                "listings"
            };
            let name = backend_name(index);
            let tunnel = self.backend_tunnel_address(index);
            let backend = self.spawn(
                &name,
                "bellyoke-lab",
                &[
                    "backend",
                    "--name",
                    &name,
                    "--tunnel",
                    &tunnel,
                    "--fabric",
                    &self.fabric_address(),
                    "--service-port",
                    "80",
                    "--slots",
                    "8",
                    "--connections",
                    "500",
                    "--admin",
                    &self.backend_admin_address(index),
                    "--allow",
                    app,
                ],
            );
            self.other_processes.push(backend);
            objects.push(backend_object(&name, app, index, &tunnel));
        }
        let lines: Vec<String> = objects.iter().map(Value::to_string).collect();
        let path = self.directory.join("objects.json");
        fs::write(&path, lines.join("\n")).expect("write the objects");
        self.run_cli(&["apply", "-f", &path.display().to_string()]);
    }

    fn start_balancers(&mut self) {
        let key = self.directory.join("cluster.key");
        fs::write(&key, "5a".repeat(32)).expect("write the key");
        for index in 0..BALANCER_COUNT {
            let path = self.directory.join(format!("balancer-{index}.toml"));
            fs::write(&path, self.balancer_settings(index, &key)).expect("write the settings");
            let arguments = ["--config", &path.display().to_string()];
            let name = format!("balancer-{index}");
            let balancer = self.spawn(&name, "bellyoke-balancer", &arguments);
            self.balancers.push(balancer);
        }
        for index in 0..BALANCER_COUNT {
            let url = format!("http://{}/readyz", self.balancer_address(index, 2));
            self.wait_until("a balancer to be ready", || self.http.succeeds(&url));
        }
    }

    fn balancer_settings(&self, index: u16, key: &Path) -> String {
        let peers: Vec<String> = (0..BALANCER_COUNT)
            .map(|peer| self.balancer_address(peer, 1))
            .collect();
        format!(
            "[node]\nzone = {:?}\ndata_address = {:?}\npeer_address = {:?}\napi_address = {:?}\n\
             [cluster]\npeers = {peers:?}\nkey_files = [{:?}]\n\
             [platform]\nurl = {:?}\nreader = true\n[fabric]\naddress = {:?}\n",
            ZONES[usize::from(index)],
            self.balancer_address(index, 0),
            self.balancer_address(index, 1),
            self.balancer_address(index, 2),
            key.display().to_string(),
            self.platform_url(),
            self.fabric_address(),
        )
    }

    fn start_fabric(&mut self) {
        let route = format!("{CALLER_PREFIX}={}", self.caller_tunnel_address());
        let fabric = self.spawn(
            "fabric",
            "bellyoke-lab",
            &[
                "fabric",
                "--listen",
                &self.fabric_address(),
                "--admin",
                &self.fabric_admin_address(),
                "--route",
                &route,
                "--platform",
                &self.platform_url(),
                "--poll-ms",
                "200",
            ],
        );
        self.other_processes.push(fabric);
        let url = format!("http://{}/counters", self.fabric_admin_address());
        self.wait_until("the fabric to be ready", || self.http.succeeds(&url));
    }

    /// Starts callers of payments and of feeds that last 3 s, then waits until some requests are answered and feeds are
    /// open.
    pub fn start_callers(&mut self) {
        let till_feed = format!("till={TILL_ADDRESS}:80:feed");
        let till_payment = format!("till={TILL_ADDRESS}:80:payment");
        let listings_feed = format!("listings={LISTINGS_ADDRESS}:80:feed");
        let report = self.report_path().display().to_string();
        let control = self.address(4);
        let caller = self.spawn(
            "caller",
            "bellyoke-lab",
            &[
                "caller",
                "--tunnel",
                &self.caller_tunnel_address(),
                "--fabric",
                &self.fabric_address(),
                "--prefix",
                CALLER_PREFIX,
                "--target",
                &till_feed,
                "--target",
                &till_payment,
                "--target",
                &listings_feed,
                "--flows",
                "8",
                "--seconds",
                "60",
                "--seed",
                "1",
                "--feed-count",
                "15",
                "--report",
                &report,
                "--control",
                &control,
            ],
        );
        self.caller = Some(caller);
        self.wait_until("the callers to start", || self.progress().is_some());
        self.wait_for_answers(30);
    }

    fn report_path(&self) -> PathBuf {
        self.directory.join("caller.json")
    }

    /// Returns the counts of the callers, or `None` while they don't respond.
    fn progress(&self) -> Option<Counts> {
        self.http
            .get(&format!("{}/progress", self.caller_control_url()))
    }

    /// Waits until `count` more requests are answered.
    pub fn wait_for_answers(&self, count: u64) {
        let before = self
            .progress()
            .expect("query the callers' progress")
            .answered;
        self.wait_until("requests to be answered", || {
            let progress = self.progress();
            progress.is_some_and(|progress| progress.answered >= before + count)
        });
    }

    /// Stops the callers, waits until their requests have ended and returns the verdict on all reports.
    pub fn finish(&mut self) -> Verdict {
        let stop = format!("{}/stop", self.caller_control_url());
        self.http.post(&stop, "");
        let mut caller = self.caller.take().expect("callers are not running");
        self.wait_until("the callers to exit", || caller.has_exited());
        let json = fs::read(self.report_path()).expect("read the callers' report");
        let report: CallerReport =
            serde_json::from_slice(&json).expect("parse the callers' report");
        let backends: Vec<BackendReport> = (0..TILL_BACKEND_COUNT + LISTINGS_BACKEND_COUNT)
            .map(|index| self.backend_report(index))
            .collect();
        let verdict = Verdict::new(&[report], &backends);
        println!("{verdict}");
        verdict
    }

    /// Returns the report of a backend.
    pub fn backend_report(&self, index: u16) -> BackendReport {
        let url = format!("http://{}/report", self.backend_admin_address(index));
        let report = self.http.get(&url);
        report.unwrap_or_else(|| panic!("GET {url} failed"))
    }

    /// Returns the status of a balancer, or `None` while it doesn't respond.
    pub fn status(&self, index: u16) -> Option<NodeStatus> {
        let address = self.balancer_address(index, 2);
        self.http.get(&format!("http://{address}/v1/status"))
    }

    /// Waits until no bucket is contested and the latest generation has passed its barrier.
    pub fn wait_for_uncontested_buckets(&self) {
        self.wait_until("uncontested buckets", || {
            (0..BALANCER_COUNT)
                .all(|index| self.status(index).is_some_and(|status| is_settled(&status)))
        });
    }

    /// Sets faults of the platform, given as JSON.
    pub fn set_faults(&self, faults: &'static str) {
        let url = format!("{}/faults", self.platform_url());
        self.http.post(&url, faults);
    }

    /// Returns the platform's JSON answer for a path that starts with a slash.
    pub fn get_from_platform(&self, path: &str) -> Value {
        let url = format!("{}{path}", self.platform_url());
        let value = self.http.get(&url);
        value.unwrap_or_else(|| panic!("GET {url} failed"))
    }

    /// Deletes the record of a balancer, as the platform does once it has detected that a machine has failed.
    pub fn delete_balancer_record(&self, index: u16) {
        let collection = "/apis/bellyoke.dev/v1/namespaces/default/balancers";
        let list = self.get_from_platform(collection);
        let address = self.balancer_address(index, 0);
        let items = list["items"].as_array().expect("a list of balancers");
        let item = items
            .iter()
            .find(|item| item["spec"]["dataAddress"] == address.as_str());
        let name = item.expect("a record of the balancer")["metadata"]["name"].as_str();
        let name = name.expect("a balancer name");
        self.http
            .delete(&format!("{}{collection}/{name}", self.platform_url()));
    }

    /// Runs the command line with balancer 0 and returns its output.
    pub fn cli_output(&self, arguments: &[&str]) -> Output {
        run_to_completion("bellyoke", &self.cli_arguments(arguments))
    }

    /// Adds the flags for the platform and balancer 0 to the arguments of a command line.
    fn cli_arguments(&self, arguments: &[&str]) -> Vec<String> {
        let balancer = format!("http://{}", self.balancer_address(0, 2));
        let platform = self.platform_url();
        let flags = ["--platform", &platform, "--balancer", &balancer];
        let all = flags.iter().chain(arguments);
        all.map(|&argument| argument.to_owned()).collect()
    }

    /// Runs the command line with balancer 0 and returns its standard output. Panics unless it succeeds.
    pub fn run_cli(&self, arguments: &[&str]) -> String {
        let output = self.cli_output(arguments);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "bellyoke {arguments:?}: {errors}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Runs two command lines concurrently and returns their outputs.
    pub fn run_cli_concurrently(&self, first: &[&str], second: &[&str]) -> [Output; 2] {
        let (first, second) = (self.cli_arguments(first), self.cli_arguments(second));
        std::thread::scope(|scope| {
            let first = scope.spawn(|| run_to_completion("bellyoke", &first));
            let second = run_to_completion("bellyoke", &second);
            [first.join().expect("run the first command"), second]
        })
    }

    /// Polls until the condition is met. Panics after a timeout with `description`.
    pub fn wait_until(&self, description: &str, mut condition: impl FnMut() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition() {
            assert!(
                Instant::now() < deadline,
                "timed out waiting for {description}; logs are in {}",
                self.directory.display()
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Returns whether a balancer has no contested bucket, a valid lease and the barrier of its generation.
fn is_settled(status: &NodeStatus) -> bool {
    let contested = status
        .services
        .iter()
        .any(|service| service.contested_buckets > 0);
    !contested && status.lease_valid && status.barrier == status.generation
}

/// Returns the name of a backend.
pub fn backend_name(index: u16) -> String {
    if index < TILL_BACKEND_COUNT {
        format!("till-{index}")
    } else {
        format!("listings-{index}")
    }
}

/// Returns a service object for the platform.
fn service_object(name: &str, address: &str) -> Value {
    json!({
        "apiVersion": "bellyoke.dev/v1",
        "kind": "Service",
        "metadata": { "name": name },
        "spec": {
            "address": address,
            "port": 80,
            "protocol": "TCP",
            "selectors": [{ "matchLabels": { "app": name }, "weight": 100 }],
            "idleTimeoutSeconds": 30,
        },
    })
}

/// Returns a backend object for the platform, in the `even` or `odd` pool by its index.
fn backend_object(name: &str, app: &str, index: u16, tunnel: &str) -> Value {
    let pool = if index.is_multiple_of(2) {
        "even"
    } else {
        "odd"
    };
    json!({
        "apiVersion": "bellyoke.dev/v1",
        "kind": "Backend",
        "metadata": { "name": name, "labels": { "app": app, "pool": pool } },
        "spec": { "tunnel": tunnel, "zone": ZONES[usize::from(index) % ZONES.len()] },
    })
}
