//! The program as operators call it.

use std::fs;
use std::path;
use std::sync::Arc;

use basilgrade_admin::configuration;
use basilgrade_standins::platform;
use basilgrade_types::revision;

#[path = "../../basilgrade_admin/tests/common/mod.rs"]
mod admin;
mod common;

/// Exit code, standard output and standard error.
type Output = (i32, String, String);

async fn basilctl(arguments: &[&str]) -> Output {
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_basilctl"))
        .args(arguments)
        .env_remove("BASILGRADE_PLATFORM")
        .env_remove("BASILGRADE_SECRET_FILE")
        .output()
        .await
        .expect("the program starts");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the output is UTF-8");
    let code = output.status.code().expect("the program was not killed");
    (code, text(output.stdout), text(output.stderr))
}

/// A file of this test process.
fn write(name: &str, text: &str) -> String {
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, text).expect("the directory is writable");
    file.display().to_string()
}

/// The options that reach a daemon.
fn reach(server: &basilgrade_admin::Server, secret: &str) -> [String; 2] {
    [
        format!("--admin={}", server.address()),
        format!("--secret-file={secret}"),
    ]
}

/// Guards against exit codes that scripts cannot rely on.
#[tokio::test]
async fn check_tells_valid_from_faulty() {
    let faulty = write("faulty.ini", "[deployment]\nnam = x\n");

    let valid = basilctl(&["check", &common::example_file("birrete")]).await;
    let found = basilctl(&["check", &faulty]).await;
    let json = basilctl(&["check", "--json", &faulty]).await;
    let missing = basilctl(&["check", "/nowhere.ini"]).await;

    assert_eq!(valid.0, 0, "{valid:?}");
    assert_eq!(found.0, 1);
    assert!(
        found
            .2
            .contains(":2: [deployment] `nam`: the key is not known")
    );
    let json: serde_json::Value = serde_json::from_str(&json.1).expect("the output is JSON");
    assert_eq!(json["problems"][2]["line"], 2, "{json}");
    assert_eq!(missing.0, 1);
    assert!(missing.2.contains("`/nowhere.ini`"));
}

/// Guards against a usage fault that looks like a fault of the file.
#[tokio::test]
async fn usage_faults_have_their_own_code() {
    for arguments in [
        &["nope"][..],
        &["check"],
        &["status"],
        &["log-level", "loud"],
    ] {
        let found = basilctl(arguments).await;

        assert_eq!(found.0, 2, "{arguments:?} {found:?}");
    }
}

/// Guards against help and completion that lack a command.
#[tokio::test]
async fn help_and_completion_know_all_commands() {
    let help = basilctl(&["--help"]).await;
    let completion = basilctl(&["--bpaf-complete-rev=8", ""]).await;

    let commands = [
        "check",
        "diff",
        "drain",
        "explain",
        "log-level",
        "publish",
        "show",
        "status",
    ];
    for command in commands {
        assert!(help.1.contains(command), "{help:?}");
        assert!(completion.1.contains(command), "{completion:?}");
    }
    assert_eq!((help.0, completion.0), (0, 0));
    assert!(help.1.contains("Exit codes: 0 done"));
}

/// Guards against commands that do not agree on what is in force.
#[tokio::test]
async fn a_configuration_goes_through_the_log() {
    let platform = platform::running_platform::start(platform::options::Options::default())
        .await
        .expect("the platform starts");
    let address = format!("--platform={}", platform.server.address);
    let file = common::example_file("birrete");
    let text = fs::read_to_string(&file).expect("the example is committed");
    let changed = write("changed.ini", &text.replace("burst = 80", "burst = 81"));

    let none = basilctl(&["show", &address]).await;
    let first = basilctl(&["publish", &address, &file]).await;
    let diff = basilctl(&["diff", &address, &changed]).await;
    let second = basilctl(&["publish", "--json", &address, "--base=1", &changed]).await;
    let late = basilctl(&["publish", &address, "--base=1", &file]).await;
    let shown = basilctl(&["show", &address]).await;

    assert_eq!(none.0, 1);
    assert_eq!(
        (first.0, first.1.as_str()),
        (0, "published as revision 1\n")
    );
    let expected =
        "difference to revision 1:\n  [customer graduacion-sur]\n- burst = 80\n+ burst = 81\n";
    assert_eq!(diff.1, expected);
    assert_eq!(second.1, "{\"changed\":true,\"revision\":2}\n");
    assert_eq!(late.0, 4, "{late:?}");
    let expected = text.replace("burst = 80", "burst = 81");
    assert_eq!(shown.1, format!("# revision 2\n{expected}"));
}

/// Guards against an unreachable platform or daemon that looks like another fault.
#[tokio::test]
async fn unreachable_services_have_their_own_code() {
    let secret = write("unreachable.secret", "0123456789abcdef\n");
    let secret = format!("--secret-file={secret}");
    let file = common::example_file("birrete");

    let publish = basilctl(&["publish", "--platform=127.0.0.1:1", &file]).await;
    let status = basilctl(&["status", "--admin=127.0.0.1:1", &secret]).await;

    assert_eq!((publish.0, status.0), (3, 3), "{publish:?} {status:?}");
}

/// Guards against commands for a daemon that print something else than it says.
#[tokio::test]
async fn commands_reach_a_daemon() {
    let fake = Arc::new(admin::FakeAdmin {
        configuration: Some(configuration::Configuration {
            revision: revision::Revision(3),
            text: "[deployment]\nname = x\n".to_owned(),
        }),
        ..admin::FakeAdmin::default()
    });
    let server = admin::start_server(fake.clone());
    let secret = write("right.secret", "0123456789abcdef\n");
    let [address, secret] = reach(&server, &secret);

    let status = basilctl(&["status", &address, &secret]).await;
    let json = basilctl(&["status", "--json", &address, &secret]).await;
    let known = basilctl(&["explain", &address, &secret, admin::KNOWN_REQUEST]).await;
    let unknown = "01939d8e-7a10-7c3e-9f62-000000000000";
    let unknown = basilctl(&["explain", &address, &secret, unknown]).await;
    let level = basilctl(&["log-level", &address, &secret, "debug"]).await;
    let drain = basilctl(&["drain", &address, &secret]).await;
    let shown = basilctl(&["show", &address, &secret]).await;

    assert!(
        status.1.contains("phase           draining\n"),
        "{status:?}"
    );
    assert!(status.1.contains("slot            s63 backup epoch="));
    let json: serde_json::Value = serde_json::from_str(&json.1).expect("the output is JSON");
    assert_eq!(json["members"][2]["state"], "suspect");
    assert_eq!(known.1, "event=route choice=assistant-1\nñ\n");
    assert_eq!(unknown.0, 1);
    assert_eq!((level.0, drain.0), (0, 0));
    let calls = fake.calls.lock().expect("no test panics here").clone();
    assert_eq!(calls, ["level debug", "drain"]);
    assert_eq!(shown.1, "# revision 3\n[deployment]\nname = x\n");
    server.stop();
}

/// Guards against orders of operators without the secret.
#[tokio::test]
async fn another_secret_is_refused() {
    let fake = Arc::new(admin::FakeAdmin::default());
    let server = admin::start_server(fake.clone());
    let wrong = write("wrong.secret", "0123456789abcdeX\n");
    let [address, secret] = reach(&server, &wrong);

    let drain = basilctl(&["drain", &address, &secret]).await;

    assert_eq!(drain.0, 3, "{drain:?}");
    assert!(drain.2.contains("use the daemon's `secret`"));
    assert!(fake.calls.lock().expect("no test panics here").is_empty());
    server.stop();
}
