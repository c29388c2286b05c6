//! Ports that tests give to daemons.

#[path = "support/port.rs"]
mod port;

use std::collections;
use std::env;
use std::io::BufRead as _;
use std::process;

/// Variable that has this test hand out ports in a process of its own.
const CHILD_VARIABLE: &str = "BASILGRADE_TEST_PORTS";

/// Test processes that run at the same time.
const PROCESSES: usize = 4;

/// Ports that each of them takes.
const PORTS: usize = 120;

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
