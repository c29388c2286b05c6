//! A daemon that runs as a separate process.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::time;

use super::port;

/// A daemon process with its addresses and its settings file.
///
/// Dropping the handle kills the process and removes the settings file.
pub(crate) struct Daemon {
    /// Name of the VM that the settings state.
    pub(crate) name: String,
    /// Address that serves callers.
    pub(crate) caller_address: net::SocketAddr,
    /// Address that serves other daemons.
    pub(crate) peer_address: net::SocketAddr,
    /// Address that serves operators' commands.
    pub(crate) admin_address: net::SocketAddr,
    settings: path::PathBuf,
    child: Option<process::Child>,
}

/// Peer secret of all daemons of a test.
pub(crate) const SECRET: &str = "a secret for tests only";

impl Daemon {
    /// Reserves addresses for a daemon on the VM `name` without starting it.
    pub(crate) fn new(name: &str) -> Self {
        let file = format!(
            "basilgrade-{}-{name}-{}.ini",
            process::id(),
            port::free_address().port()
        );
        Self {
            name: name.to_owned(),
            caller_address: port::free_address(),
            peer_address: port::free_address(),
            admin_address: port::free_address(),
            settings: env::temp_dir().join(file),
            child: None,
        }
    }

    /// Writes the settings file, with `seeds` as the peers to join.
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
            self.caller_address,
            self.peer_address,
            self.admin_address,
            seeds.join(", "),
            env::var("BASILGRADE_TEST_LOG").unwrap_or_else(|_| "off".to_owned()),
        );
        fs::write(&self.settings, text).expect("the settings file can be written");
    }

    /// Starts the process.
    ///
    /// The log of the process is appended to a file in the directory `BASILGRADE_TEST_LOG_DIR` if
    /// that variable is set.
    pub(crate) fn start(&mut self) {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_basilgrade"));
        command.arg("--settings").arg(&self.settings);
        if let Ok(directory) = env::var("BASILGRADE_TEST_LOG_DIR") {
            let file = fs::OpenOptions::new()
                .append(true)
                .create(true)
                .open(path::Path::new(&directory).join(format!("{}.log", self.name)))
                .expect("the log file can be opened");
            command.stderr(file);
        }
        self.child = Some(command.spawn().expect("the daemon process starts"));
    }

    /// Process id; `None` before the start, and after a kill or an observed exit.
    pub(crate) fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(process::Child::id)
    }

    /// Sends the signal called `name`, such as `STOP`, if the daemon was started.
    pub(crate) fn signal(&self, name: &str) {
        let Some(child) = &self.child else {
            return;
        };
        process::Command::new("kill")
            .arg(format!("-{name}"))
            .arg(child.id().to_string())
            .status()
            .expect("the `kill` command can be run");
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the daemon process can be killed");
            child.wait().expect("the killed process can be waited for");
        }
    }

    /// Whether the process was started and has not exited.
    pub(crate) fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until the process exits by itself and returns its exit code.
    ///
    /// Returns `None` if the process was never started or was ended by a signal.
    pub(crate) async fn wait_for_exit(&mut self) -> Option<i32> {
        loop {
            let child = self.child.as_mut()?;
            if let Some(status) = child
                .try_wait()
                .expect("the exit status of the process can be read")
            {
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
            // Errors are ignored: the process may have exited before.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_file(&self.settings);
    }
}
