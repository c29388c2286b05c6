//! One daemon process.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::time;

use super::port;

/// What a daemon is told in its settings, and its process.
pub(crate) struct Daemon {
    /// Name of the VM.
    pub(crate) name: String,
    /// Where callers connect.
    pub(crate) caller: net::SocketAddr,
    /// Where other daemons connect.
    pub(crate) peer: net::SocketAddr,
    /// Where operators connect.
    pub(crate) admin: net::SocketAddr,
    settings: path::PathBuf,
    child: Option<process::Child>,
}

/// The secret that all daemons of a test share.
pub(crate) const SECRET: &str = "a secret for tests only";

impl Daemon {
    /// A daemon that is not running yet.
    pub(crate) fn new(name: &str) -> Self {
        let file = format!(
            "basilgrade-{}-{name}-{}.ini",
            process::id(),
            port::free().port()
        );
        Self {
            name: name.to_owned(),
            caller: port::free(),
            peer: port::free(),
            admin: port::free(),
            settings: env::temp_dir().join(file),
            child: None,
        }
    }

    /// Writes the settings.
    pub(crate) fn configure(
        &self,
        domain: &str,
        platform: net::SocketAddr,
        seeds: &[net::SocketAddr],
    ) {
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        let text = format!(
            "[process]\nvm = {}\ndomain = {domain}\ncaller-address = {}\npeer-address = {}\n\
             admin-address = {}\n[platform]\naddress = {platform}\n[peers]\nsecret = {SECRET}\n\
             seeds = {}\n[drain]\nlinger = 300ms\n[log]\nlevel = {}\n",
            self.name,
            self.caller,
            self.peer,
            self.admin,
            seeds.join(", "),
            env::var("BASILGRADE_TEST_LOG").unwrap_or_else(|_| "off".to_owned()),
        );
        fs::write(&self.settings, text).expect("the settings can be written");
    }

    /// Starts the process.
    pub(crate) fn start(&mut self) {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_basilgrade"));
        command.arg("--settings").arg(&self.settings);
        if let Ok(folder) = env::var("BASILGRADE_TEST_LOG_DIR") {
            let file = fs::OpenOptions::new()
                .append(true)
                .create(true)
                .open(path::Path::new(&folder).join(format!("{}.log", self.name)))
                .expect("the log can be written");
            command.stderr(file);
        }
        self.child = Some(command.spawn().expect("the daemon starts"));
    }

    /// Id of the process, if it runs.
    pub(crate) fn process(&self) -> Option<u32> {
        self.child.as_ref().map(process::Child::id)
    }

    /// Sends a signal by name, such as `STOP`.
    pub(crate) fn signal(&self, name: &str) {
        let Some(child) = &self.child else {
            return;
        };
        process::Command::new("kill")
            .arg(format!("-{name}"))
            .arg(child.id().to_string())
            .status()
            .expect("kill runs");
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process can be ended");
            child.wait().expect("the process has ended");
        }
    }

    /// Whether the process runs.
    pub(crate) fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until the process ends by itself and returns its exit code.
    pub(crate) async fn ended(&mut self) -> Option<i32> {
        loop {
            let child = self.child.as_mut()?;
            if let Some(status) = child.try_wait().expect("the process can be asked") {
                self.child = None;
                return status.code();
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A test that fails leaves no process behind.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_file(&self.settings);
    }
}
