//! One daemon process on an entry VM.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;

use super::port;

/// A daemon; the process ends when this is dropped.
pub(crate) struct Daemon {
    pub(crate) name: String,
    pub(crate) callers: net::SocketAddr,
    pub(crate) readiness: net::SocketAddr,
    pub(crate) peers: net::SocketAddr,
    settings: path::PathBuf,
    child: Option<process::Child>,
}

impl Daemon {
    pub(crate) fn new(
        name: &str,
        domain: &str,
        store: net::SocketAddr,
        seeds: &[net::SocketAddr],
    ) -> Self {
        let (callers, readiness, peers) = (port::free(), port::free(), port::free());
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        let file = format!("basilgrade-edge-{}-{}.ini", process::id(), callers.port());
        let settings = env::temp_dir().join(file);
        let text = format!(
            "[vm]\nname = {name}\ndomain = {domain}\n[regions]\na = north\nb = south\n\
             [listen]\ncallers = {callers}\nreadiness = {readiness}\npeers = {peers}\n\
             [peers]\nseeds = {}\n[platform]\naddress = {store}\n[shutdown]\ngrace = 8s\n\
             [retries]\nratio = 0.2\nfloor = 58\nwindow = 10s\n",
            seeds.join(",")
        );
        fs::write(&settings, text).expect("the settings can be written");
        Self {
            name: name.to_owned(),
            callers,
            readiness,
            peers,
            settings,
            child: None,
        }
    }

    pub(crate) fn start(&mut self) {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_basilgrade"));
        command.arg("edge").arg("--settings").arg(&self.settings);
        match env::var("BASILGRADE_TEST_LOG_DIR") {
            Ok(folder) => {
                let file = path::Path::new(&folder).join(format!("{}.log", self.name));
                let file = fs::OpenOptions::new().append(true).create(true).open(file);
                command.stdout(file.expect("the log can be written"));
            }
            Err(_) => {
                command.stdout(process::Stdio::null());
            }
        }
        self.child = Some(command.spawn().expect("the daemon starts"));
    }

    pub(crate) fn signal(&self, name: &str) {
        let child = self.child.as_ref().expect("the daemon runs");
        let sent = process::Command::new("kill")
            .arg(format!("-{name}"))
            .arg(child.id().to_string())
            .status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the end of the process, and returns whether it was a success.
    pub(crate) async fn ended(&mut self) -> bool {
        let mut child = self.child.take().expect("the daemon runs");
        let waiting = tokio::task::spawn_blocking(move || child.wait());
        let status = waiting.await.expect("the wait does not panic");
        status.expect("the process can be waited for").success()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        // A file that is left in the temporary folder does no harm.
        let _ = fs::remove_file(&self.settings);
    }
}
