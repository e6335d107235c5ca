//! Runs the daemon, from parsing the command line until the process exits.

use super::command_line::{USAGE, flag_list, parse_command_line};
use super::control::{Control, TICK_INTERVAL};
use super::settings::{Settings, load_settings};
use super::shared::Shared;
use crate::connection::follow::follow;
use crate::connection::http_server;
use crate::connection::peers::{PeerLink, receive_datagrams, serve_snapshots};
use crate::connection::probes::probe_instances;
use crate::connection::store::Store;
use crate::packet::{PacketCounters, start_traffic_thread};
use anyhow::Context;
use bellyoke_api::event_code::EventCode;
use bellyoke_api::result_code::ResultCode;
use bellyoke_core::cookie::cold::ColdLimiter;
use bellyoke_core::cookie::follower::FollowerSettings;
use bellyoke_core::cookie::forwarder::Forwarder;
use bellyoke_core::cookie::freshness::ObjectKind;
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::packet::PacketCodec;
use bellyoke_core::time::Timestamp;
use bellyoke_process::clock::MonotonicClock;
use bellyoke_process::log::{log_event, start_non_blocking_log};
use bellyoke_process::settings::{CommandLine, Override, Problems};
use prometheus_client::registry::Registry;
use std::cell::RefCell;
use std::ffi::OsString;
use std::net::{SocketAddrV4, UdpSocket};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval};

/// Maximum number of lists of suspects queued for the control thread. Further lists are dropped;
/// the next failure reports the instances again.
const MAXIMUM_QUEUED_SUSPECT_LISTS: usize = 64;

/// Interval at which the settings are reloaded and compared with the current ones, because the
/// file may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Time of the process clock at its start.
///
/// Peers report the ages of confirmations, claims and tombstones. Without this offset, anything
/// older than this process would appear younger than it is.
const CLOCK_ORIGIN: Timestamp = Timestamp::from_micros(24 * 3_600 * 1_000_000);

/// Runs the daemon with the packet format and store of an adapter.
///
/// The exit status is 0, or the group of the result code on failure.
pub fn run<Codec, S>(
    arguments: impl IntoIterator<Item = OsString>,
    codec: Codec,
    store: S,
) -> ExitCode
where
    Codec: PacketCodec,
    S: Store,
{
    match parse_command_line(arguments) {
        Ok(CommandLine::Help) => {
            print!("{USAGE}{}", flag_list());
            ExitCode::SUCCESS
        }
        Ok(CommandLine::Version) => {
            println!("bellyoke-node {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(CommandLine::Run {
            config,
            overrides,
            check_only,
        }) => start(
            SettingsSource { config, overrides },
            check_only,
            codec,
            store,
        ),
        Err(problems) => report_problems(&problems),
    }
}

fn report_problems(problems: &Problems) -> ExitCode {
    eprintln!("error: {problems}");
    let code = problems.0.first().map(|problem| problem.code);
    ExitCode::from(code.unwrap_or(ResultCode::SettingsSyntax).exit_status())
}

fn start<Codec, S>(source: SettingsSource, check_only: bool, codec: Codec, store: S) -> ExitCode
where
    Codec: PacketCodec,
    S: Store,
{
    let settings = match source.load() {
        Ok(settings) => settings,
        Err(problems) => return report_problems(&problems),
    };
    if check_only {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    let _log = start_non_blocking_log(&settings.log);
    let result = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .context("start the control thread")
        .and_then(|runtime| {
            let local = LocalSet::new();
            runtime.block_on(local.run_until(serve(source, settings, codec, store)))
        });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = ResultCode::AddressUnavailable;
            log_event(EventCode::ThreadFailed, format_args!("{error:#}"));
            eprintln!("error: {code} {error:#}");
            ExitCode::from(code.exit_status())
        }
    }
}

/// The source of the settings, kept to reload them.
struct SettingsSource {
    config: Option<PathBuf>,
    overrides: Vec<Override>,
}

impl SettingsSource {
    fn load(&self) -> Result<Settings, Problems> {
        load_settings(self.config.as_deref(), &self.overrides)
    }
}

/// Runs the control thread until a signal stops the process.
async fn serve<Codec, S>(
    source: SettingsSource,
    settings: Settings,
    codec: Codec,
    store: S,
) -> anyhow::Result<()>
where
    Codec: PacketCodec,
    S: Store,
{
    let clock = MonotonicClock::start_at(CLOCK_ORIGIN);
    let mut signals = Signals::register()?;
    let mut registry = Registry::with_prefix("bellyoke");
    let packets = PacketCounters::new(&mut registry);
    let (suspects_sender, suspects) = mpsc::channel(MAXIMUM_QUEUED_SUSPECT_LISTS);
    let shared = Arc::new(Shared::new(clock, packets, suspects_sender));
    let control = Control::new(&settings, Arc::clone(&shared), registry);
    let control = Rc::new(RefCell::new(control));
    let link = bind_all(&settings, &control).await?;
    let data_address = settings.node.data_address;
    let data_socket = UdpSocket::bind(data_address)
        .with_context(|| format!("bind node.data_address {data_address}"))?;
    let cold = ColdLimiter::new(settings.cold.allowance(), rand::random());
    let forwarder = Forwarder::new(HealthSettings::default())
        .with_cold_limiter(cold)
        .with_flows(settings.flows.capacity, settings.flows.end_resting)
        .with_zone(settings.preferred_zone())
        .with_drained_within(settings.timing.drained_within())
        .with_admission(settings.admission.admission());
    start_traffic_thread(
        "traffic-0".to_owned(),
        data_socket,
        codec,
        shared,
        forwarder,
    )
    .context("start a traffic thread")?;
    follow_store(&link, &settings, &store);
    spawn_local(probe_instances(link.clone(), suspects));
    log_event(
        EventCode::ProcessStarted,
        format_args!(
            "node={} zone={} data={data_address} peer={} store={} version={}",
            settings.node.name,
            settings.node.zone,
            settings.node.peer_address,
            settings.store.address,
            env!("CARGO_PKG_VERSION"),
        ),
    );
    let mut reloader = Reloader { source, settings };
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut settings_polls = interval(SETTINGS_POLL_INTERVAL);
    settings_polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let effects = control.borrow_mut().tick();
                link.perform(effects);
                if may_stop(&control, clock) {
                    log_event(EventCode::ProcessStopped, "the leave grace period has ended");
                    return Ok(());
                }
            }
            _ = settings_polls.tick() => reloader.reload(&control, ReloadCause::Poll),
            _ = signals.hangup.recv() => reloader.reload(&control, ReloadCause::Signal),
            _ = signals.terminate.recv() => {
                let is_second = control.borrow().stop_at().is_some();
                if is_second {
                    log_event(EventCode::StoppedAtOnce, "second signal");
                    return Ok(());
                }
                log_event(EventCode::LeaveRequested, "signal");
                let effects = control.borrow_mut().leave();
                link.perform(effects);
            }
        }
    }
}

fn may_stop(control: &Rc<RefCell<Control>>, clock: MonotonicClock) -> bool {
    let stop_at = control.borrow().stop_at();
    stop_at.is_some_and(|stop_at| clock.now() >= stop_at)
}

/// Binds all sockets except the data socket, spawns the tasks that serve them, and returns the
/// link to the peers.
async fn bind_all(settings: &Settings, control: &Rc<RefCell<Control>>) -> anyhow::Result<PeerLink> {
    let node = &settings.node;
    let ready = listen(node.ready_address, "node.ready_address").await?;
    spawn_local(http_server::serve(Rc::clone(control), ready));
    if let Some(address) = node.metrics_address {
        serve_metrics(control, address).await;
    }
    let snapshots = listen(node.peer_address, "node.peer_address").await?;
    spawn_local(serve_snapshots(Rc::clone(control), snapshots));
    let peer_socket = tokio::net::UdpSocket::bind(node.peer_address)
        .await
        .with_context(|| format!("bind node.peer_address {}", node.peer_address))?;
    let link = PeerLink {
        control: Rc::clone(control),
        socket: Arc::new(peer_socket),
    };
    spawn_local(receive_datagrams(link.clone()));
    Ok(link)
}

/// Serves metrics at `address`. A failure to bind is only logged, because a node must start without
/// metrics rather than not at all.
async fn serve_metrics(control: &Rc<RefCell<Control>>, address: SocketAddrV4) {
    match listen(address, "node.metrics_address").await {
        Ok(listener) => {
            spawn_local(http_server::serve(Rc::clone(control), listener));
        }
        Err(error) => log_event(EventCode::MetricsUnavailable, format_args!("{error:#}")),
    }
}

async fn listen(address: SocketAddrV4, key: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("bind {key} {address}"))
}

fn follow_store<S: Store>(link: &PeerLink, settings: &Settings, store: &S) {
    let address = settings.store.address;
    let freshness_bound = settings.timing.freshness_bound();
    let follower = FollowerSettings {
        watch_wait: settings.timing.watch_wait(),
        reader_watch_wait: freshness_bound / 2,
        reader_watch_pause: freshness_bound / 3,
        relative_capacity: settings.place().class.relative_weight(),
        ..FollowerSettings::default()
    };
    spawn_local(follow(
        link.clone(),
        ObjectKind::Configuration,
        store.configurations(address),
        follower,
        Control::apply_configurations,
    ));
    spawn_local(follow(
        link.clone(),
        ObjectKind::Instances,
        store.instances(address),
        follower,
        Control::apply_instances,
    ));
    if settings.timing.reads_zones() {
        spawn_local(follow(
            link.clone(),
            ObjectKind::Zones,
            store.zones(address),
            follower,
            Control::apply_zones,
        ));
    }
}

struct Signals {
    terminate: tokio::signal::unix::Signal,
    hangup: tokio::signal::unix::Signal,
}

impl Signals {
    fn register() -> anyhow::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context("install a handler for SIGTERM")?,
            hangup: signal(SignalKind::hangup()).context("install a handler for SIGHUP")?,
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReloadCause {
    Signal,
    Poll,
}

/// Reloads the settings and applies those that can change at run time.
struct Reloader {
    source: SettingsSource,
    settings: Settings,
}

impl Reloader {
    fn reload(&mut self, control: &Rc<RefCell<Control>>, cause: ReloadCause) {
        match self.source.load() {
            Ok(settings) if settings == self.settings && cause == ReloadCause::Poll => {}
            Ok(settings) => {
                control.borrow_mut().reload(&settings);
                self.settings = settings;
                log_event(EventCode::SettingsReloaded, format_args!("cause={cause:?}"));
            }
            Err(problems) if cause == ReloadCause::Signal => {
                log_event(EventCode::SettingsRejected, format_args!("{problems}"));
            }
            Err(_) => {}
        }
    }
}
