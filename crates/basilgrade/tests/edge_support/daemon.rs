//! A daemon of an entry VM that runs as a separate process.

use std::env;
use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;

use super::port;

/// A daemon process with its addresses and its settings file.
///
/// Dropping the handle kills the process and removes the settings file.
pub(crate) struct Daemon {
    pub(crate) name: String,
    /// Address that serves callers.
    pub(crate) caller_address: net::SocketAddr,
    /// Address that serves the readiness check.
    pub(crate) readiness_address: net::SocketAddr,
    /// Address that serves other daemons.
    pub(crate) peer_address: net::SocketAddr,
    /// File to which the log of the process is appended; removed with the handle.
    pub(crate) log: Option<path::PathBuf>,
    settings: path::PathBuf,
    /// Programs of which each start runs the next one in turn.
    builds: Vec<path::PathBuf>,
    starts: usize,
    child: Option<process::Child>,
}

impl Daemon {
    /// Writes the settings file of a daemon on the VM `name` in the failure domain `domain`,
    /// without starting the daemon.
    pub(crate) fn new(
        name: &str,
        domain: &str,
        store: net::SocketAddr,
        seeds: &[net::SocketAddr],
    ) -> Self {
        let (caller_address, readiness_address, peer_address) = (
            port::free_address(),
            port::free_address(),
            port::free_address(),
        );
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        let text = format!(
            "[vm]\nname = {name}\ndomain = {domain}\n[regions]\na = north\nb = south\n\
             c = east\nd = south\n[listen]\ncallers = {caller_address}\nreadiness = {readiness_address}\npeers = {peer_address}\n\
             [peers]\nseeds = {}\n[platform]\naddress = {store}\n[shutdown]\ngrace = 8s\n\
             [retries]\nratio = 0.2\nfloor = 58\nwindow = 10s\n",
            seeds.join(",")
        );
        let addresses = [caller_address, readiness_address, peer_address];
        Self::with_settings(name, addresses, &text)
    }

    /// Writes `text` to the settings file of a daemon on the VM `name`, without starting the daemon.
    /// The addresses are those that `text` has it listen on for callers, for the readiness check and
    /// for other daemons.
    pub(crate) fn with_settings(name: &str, addresses: [net::SocketAddr; 3], text: &str) -> Self {
        let [caller_address, readiness_address, peer_address] = addresses;
        let file = format!(
            "basilgrade-edge-{}-{name}-{}.ini",
            process::id(),
            caller_address.port()
        );
        let settings = env::temp_dir().join(file);
        fs::write(&settings, text).expect("the settings file can be written");
        Self {
            name: name.to_owned(),
            caller_address,
            readiness_address,
            peer_address,
            log: None,
            settings,
            builds: vec![path::PathBuf::from(env!("CARGO_BIN_EXE_basilgrade"))],
            starts: 0,
            child: None,
        }
    }

    /// Has the starts of the process run the program `other` in turn with the current build, which
    /// runs first unless `begins` is set.
    pub(crate) fn alternate(&mut self, other: &path::Path, begins: bool) {
        self.builds.push(other.to_owned());
        self.starts = usize::from(begins);
    }

    /// Appends lines to the settings file, which a running process reads within 2 s.
    pub(crate) fn add_settings(&self, text: &str) {
        let file = fs::OpenOptions::new().append(true).open(&self.settings);
        let mut file = file.expect("the settings file can be opened");
        io::Write::write_all(&mut file, text.as_bytes()).expect("the settings can be written");
    }

    /// Starts the process.
    ///
    /// The log of the process is appended to [`Daemon::log`], or else to a file in the directory
    /// `BASILGRADE_TEST_LOG_DIR` if that variable is set, and dropped otherwise.
    pub(crate) fn start(&mut self) {
        let build = &self.builds[self.starts % self.builds.len()];
        self.starts += 1;
        let mut command = process::Command::new(build);
        command.arg("edge").arg("--settings").arg(&self.settings);
        let directory = env::var("BASILGRADE_TEST_LOG_DIR").ok();
        let in_directory =
            directory.map(|name| path::Path::new(&name).join(format!("{}.log", self.name)));
        match self.log.clone().or(in_directory) {
            Some(file) => {
                let file = fs::OpenOptions::new().append(true).create(true).open(file);
                command.stdout(file.expect("the log file can be opened"));
            }
            None => {
                command.stdout(process::Stdio::null());
            }
        }
        self.child = Some(command.spawn().expect("the daemon process starts"));
    }

    /// Appends the log of further starts to a temporary file.
    pub(crate) fn keep_log(&mut self) {
        self.log = Some(self.settings.with_extension("log"));
    }

    /// Counts the lines of the kept log that contain `word`.
    pub(crate) fn count_log_lines(&self, word: &str) -> usize {
        let file = self.log.as_ref().expect("the log is kept");
        let text = fs::read_to_string(file).unwrap_or_default();
        text.lines().filter(|line| line.contains(word)).count()
    }

    /// Sends the signal called `name`, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let child = self.child.as_ref().expect("the daemon process was started");
        let sent = process::Command::new("kill")
            .arg(format!("-{name}"))
            .arg(child.id().to_string())
            .status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// Largest resident memory of the process so far, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        let child = self.child.as_ref().expect("the daemon process was started");
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let digits = line.and_then(|line| line.trim().strip_suffix(" kB"));
        let count: u64 = digits.and_then(|text| text.parse().ok()).expect("a size");
        count << 10
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Errors are ignored: the process may have exited before.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process exits and returns whether it exited with code 0.
    pub(crate) async fn wait_for_exit(&mut self) -> bool {
        let mut child = self.child.take().expect("the daemon process was started");
        let waiting = tokio::task::spawn_blocking(move || child.wait());
        let status = waiting.await.expect("the waiting thread does not panic");
        status
            .expect("the daemon process can be waited for")
            .success()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        // Errors are ignored: files left in the temporary directory do no harm.
        let _ = fs::remove_file(&self.settings);
        if let Some(log) = &self.log {
            let _ = fs::remove_file(log);
        }
    }
}
