//! One instance of the program under test, as a separate process.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::record::Record;

/// Port of the metrics, which the deploy file names.
const METRICS_PORT: u16 = 9_464;
/// Longest time until an instance is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A folder for settings and logs, removed in the end.
pub struct Folder {
    pub path: PathBuf,
}

impl Folder {
    pub fn new() -> std::io::Result<Folder> {
        let name = format!("standin-2-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Folder { path })
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// When the process was last started, since the start of the case.
    pub started_at: Duration,
}

impl Daemon {
    /// Returns an instance at a loopback address of its own, without a process.
    pub fn new(
        number: u8,
        zone: &str,
        store: SocketAddr,
        memory_mb: u32,
        program: &Path,
        folder: &Folder,
    ) -> Result<Daemon, String> {
        let (ip, ports) = free_ports(number)?;
        let name = format!("front-{zone}-{number}");
        let [front, ready, control, peers] = ports;
        let text = format!(
            "node={name}\nrole=entry\nmachine_class=front\nplanes=front,control\nip={ip}\nzone={zone}\n\
             region=qc-centre\nlisten.front={ip}:{front}\nlisten.ready={ip}:{ready}\n\
             listen.control={ip}:{control}\nport_range={peers},{peers}\nseeds=\nbootstrap=true\n\
             limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb={memory_mb}\n\
             limits.max_fds=4100\ndiscovery=platform\nentry=vip\nbeat_ms=1200\n\
             timing.contact_ms=3000\ntiming.grace_s=8\nplatform.address={store}\nplatform.form=kv\n"
        );
        let settings = folder.path.join(format!("{name}.conf"));
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Ok(Daemon {
            front: address(front),
            ready: address(ready),
            program: program.to_path_buf(),
            log: folder.path.join(format!("{name}.log")),
            settings,
            name,
            child: None,
            started_at: Duration::ZERO,
        })
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&mut self, record: &Record) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(&self.program)
            .env("WIGEONJUNCTION_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn();
        self.child = Some(child.map_err(|error| error.to_string())?);
        self.started_at = record.now();
        record.add(format!("{} is started", self.name));
        Ok(())
    }

    /// Waits until the instance says that it is ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} does not get ready", self.name))
    }

    /// Returns whether the instance says that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = client::get(self.ready, "/ready");
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the last word of the log is that the instance coordinates the runners' pool.
    pub fn is_coordinator(&self) -> bool {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let began = log.rfind("Became the coordinator of pool redacteurs");
        let ended = log.rfind("Stopped being the coordinator of pool redacteurs");
        began > ended
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a loopback address with the metrics port and four other ports free.
fn free_ports(number: u8) -> Result<(String, [u16; 4]), String> {
    // Scripts that run at the same time begin at different addresses.
    let first = std::process::id() % 200;
    for net in (0..200).map(|step| 40 + (first + step) % 200) {
        let ip = format!("127.0.{net}.{number}");
        let Ok(_metrics) = TcpListener::bind((ip.as_str(), METRICS_PORT)) else {
            continue;
        };
        let mut listeners = Vec::new();
        while listeners.len() < 4 {
            let listener =
                TcpListener::bind((ip.as_str(), 0)).map_err(|error| error.to_string())?;
            let port = listener
                .local_addr()
                .map_err(|error| error.to_string())?
                .port();
            if UdpSocket::bind((ip.as_str(), port)).is_ok() {
                listeners.push((listener, port));
            }
        }
        let port = |index: usize| listeners[index].1;
        return Ok((ip, [port(0), port(1), port(2), port(3)]));
    }
    Err("no loopback address is free".to_string())
}
