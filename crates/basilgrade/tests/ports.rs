//! Ports that tests give to daemons.

#[path = "support/port.rs"]
mod port;

use std::collections;
use std::env;
use std::io;
use std::io::BufRead as _;
use std::net;
use std::process;
use std::sync::atomic;
use std::thread;

/// Variable that has this test hand out ports in a process of its own.
const CHILD_VARIABLE: &str = "BASILGRADE_TEST_PORTS";

/// Test processes that run at the same time.
const PROCESSES: usize = 4;

/// Ports that each of them takes.
const PORTS: usize = 120;

/// Threads that start processes while ports are taken.
const STARTERS: usize = 3;

/// Ports that are taken and listened on while processes are started.
const TAKEN_PORTS: usize = 1500;

/// Ports that are taken for each process that has started.
const PORTS_PER_PROCESS: usize = 5;

/// Takes ports, prints them, and holds them until its input ends.
fn take_ports() {
    for _ in 0..PORTS {
        println!("port {}", port::free_address().port());
    }
    println!("done");
    let mut line = String::new();
    // An error is ignored: it ends the process as well.
    let _ = std::io::stdin().lock().read_line(&mut line);
}

/// Guards against two runs of the tests at the same time whose daemons get the same port.
#[test]
fn test_processes_get_different_ports() {
    if env::var(CHILD_VARIABLE).is_ok() {
        take_ports();
        return;
    }
    let start = || {
        let program = env::current_exe().expect("the test has a path");
        let mut command = process::Command::new(program);
        command.args(["--nocapture", "test_processes_get_different_ports"]);
        command.env(CHILD_VARIABLE, "1");
        command.stdin(process::Stdio::piped());
        command.stdout(process::Stdio::piped());
        command.spawn().expect("the test starts")
    };
    let mut children: Vec<_> = (0..PROCESSES).map(|_| start()).collect();

    let mut ports = Vec::new();
    let mut outputs = Vec::new();
    for child in &mut children {
        let output = child.stdout.take().expect("the output is piped");
        let mut lines = std::io::BufReader::new(output).lines();
        let taken = lines.by_ref().map_while(Result::ok);
        let taken = taken.take_while(|line| !line.ends_with("done"));
        ports.extend(taken.filter_map(|line| {
            let (_, port) = line.rsplit_once("port ")?;
            port.parse::<u16>().ok()
        }));
        outputs.push(lines);
    }
    for (child, output) in children.iter_mut().zip(outputs) {
        drop(child.stdin.take());
        output.for_each(drop);
        child.wait().expect("the test process can be waited for");
    }

    let distinct: collections::HashSet<_> = ports.iter().collect();
    assert_eq!(ports.len(), PROCESSES * PORTS);
    assert_eq!(distinct.len(), ports.len());
}

/// Takes ports and listens on each, in step with the processes that have `started`; returns the errors.
fn listen_on_taken_ports(started: &atomic::AtomicUsize) -> Vec<io::Error> {
    let listen = |number| {
        while started.load(atomic::Ordering::Relaxed) < number / PORTS_PER_PROCESS {
            thread::yield_now();
        }
        net::TcpListener::bind(port::free_address()).err()
    };
    (0..TAKEN_PORTS).filter_map(listen).collect()
}

/// Guards against a daemon that cannot listen on its port since a process that starts meanwhile, and
/// inherits all sockets until it executes its program, holds one that listens there.
#[test]
fn port_can_be_listened_on_while_processes_start() {
    if env::var(CHILD_VARIABLE).is_ok() {
        return;
    }
    let started = atomic::AtomicUsize::new(0);
    let is_done = atomic::AtomicBool::new(false);
    let start_processes = || {
        while !is_done.load(atomic::Ordering::Relaxed) {
            let status = process::Command::new("true").status();
            assert!(status.is_ok_and(|status| status.success()));
            started.fetch_add(1, atomic::Ordering::Relaxed);
        }
    };

    let errors = thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(start_processes);
        }
        let errors = listen_on_taken_ports(&started);
        is_done.store(true, atomic::Ordering::Relaxed);
        errors
    });

    assert!(
        errors.is_empty(),
        "{} of {TAKEN_PORTS}: {errors:?}",
        errors.len()
    );
}
