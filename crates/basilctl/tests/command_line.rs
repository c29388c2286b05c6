//! Runs the `basilctl` binary and checks its exit codes and output.

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
        .expect("basilctl starts");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the output is UTF-8");
    let code = output
        .status
        .code()
        .expect("basilctl was not killed by a signal");
    (code, text(output.stdout), text(output.stderr))
}

/// Writes a file into the temporary directory of the test and returns its path.
fn write_file(name: &str, text: &str) -> String {
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, text).expect("the directory is writable");
    file.display().to_string()
}

/// The options for connecting to the admin interface of `server`.
fn admin_options(server: &basilgrade_admin::Server, secret: &str) -> [String; 2] {
    [
        format!("--admin={}", server.address()),
        format!("--secret-file={secret}"),
    ]
}

/// Guards against a `check` that returns the exit code of a valid configuration for an invalid one,
/// or the reverse; scripts rely on these exit codes.
#[tokio::test]
async fn check_distinguishes_valid_from_invalid_configurations() {
    let invalid_file = write_file("faulty.ini", "[deployment]\nnam = x\n");

    let valid = basilctl(&["check", &common::example_file("birrete")]).await;
    let output = basilctl(&["check", &invalid_file]).await;
    let json = basilctl(&["check", "--json", &invalid_file]).await;
    let missing_file = basilctl(&["check", "/nowhere.ini"]).await;

    assert_eq!(valid.0, 0, "{valid:?}");
    assert_eq!(output.0, 1);
    assert!(
        output
            .2
            .contains(":2: [deployment] `nam`: the key is not known")
    );
    let json: serde_json::Value = serde_json::from_str(&json.1).expect("the output is JSON");
    assert_eq!(json["problems"][2]["line"], 2, "{json}");
    assert_eq!(missing_file.0, 1);
    assert!(missing_file.2.contains("`/nowhere.ini`"));
}

/// Guards against invalid usage that has the exit code of an invalid configuration.
#[tokio::test]
async fn invalid_usage_has_its_own_exit_code() {
    for arguments in [
        &["nope"][..],
        &["check"],
        &["status"],
        &["log-level", "loud"],
    ] {
        let output = basilctl(arguments).await;

        assert_eq!(output.0, 2, "{arguments:?} {output:?}");
    }
}

/// Guards against a command that is missing in help or shell completion.
#[tokio::test]
async fn help_and_completion_list_all_commands() {
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

/// Guards against `show`, `publish` and `diff` disagreeing about the configuration in force.
#[tokio::test]
async fn published_configuration_is_read_back_from_log() {
    let platform = platform::running_platform::start(platform::options::Options::default())
        .await
        .expect("the platform starts");
    let address = format!("--platform={}", platform.server.address);
    let file = common::example_file("birrete");
    let text = fs::read_to_string(&file).expect("the example is in the repository");
    let changed = write_file("changed.ini", &text.replace("burst = 80", "burst = 81"));

    let none = basilctl(&["show", &address]).await;
    let first = basilctl(&["publish", &address, &file]).await;
    let diff = basilctl(&["diff", &address, &changed]).await;
    let second = basilctl(&["publish", "--json", &address, "--base=1", &changed]).await;
    let conflict = basilctl(&["publish", &address, "--base=1", &file]).await;
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
    assert_eq!(conflict.0, 4, "{conflict:?}");
    let expected = text.replace("burst = 80", "burst = 81");
    assert_eq!(shown.1, format!("# revision 2\n{expected}"));
}

/// Guards against an unreachable platform or daemon that has the exit code of another failure.
#[tokio::test]
async fn unreachable_services_have_their_own_exit_code() {
    let secret = write_file("unreachable.secret", "0123456789abcdef\n");
    let secret = format!("--secret-file={secret}");
    let file = common::example_file("birrete");

    let publish = basilctl(&["publish", "--platform=127.0.0.1:1", &file]).await;
    let status = basilctl(&["status", "--admin=127.0.0.1:1", &secret]).await;

    assert_eq!((publish.0, status.0), (3, 3), "{publish:?} {status:?}");
}

/// Guards against commands that call the wrong function of the admin interface, or print something
/// other than the response of the daemon.
#[tokio::test]
async fn commands_print_response_of_daemon() {
    let fake = Arc::new(admin::FakeAdmin {
        configuration: Some(configuration::Configuration {
            revision: revision::Revision(3),
            text: "[deployment]\nname = x\n".to_owned(),
        }),
        ..admin::FakeAdmin::default()
    });
    let server = admin::start_server(fake.clone());
    let secret = write_file("right.secret", "0123456789abcdef\n");
    let [address, secret] = admin_options(&server, &secret);

    let status = basilctl(&["status", &address, &secret]).await;
    let json = basilctl(&["status", "--json", &address, &secret]).await;
    let explained = basilctl(&["explain", &address, &secret, admin::KNOWN_REQUEST]).await;
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
    assert_eq!(explained.1, "event=route choice=assistant-1\nñ\n");
    assert_eq!(unknown.0, 1);
    assert_eq!((level.0, drain.0), (0, 0));
    let calls = fake
        .calls
        .lock()
        .expect("no thread panicked while it held the lock")
        .clone();
    assert_eq!(calls, ["level debug", "drain"]);
    assert_eq!(shown.1, "# revision 3\n[deployment]\nname = x\n");
    server.stop();
}

/// Guards against a daemon that executes commands of a tool with another secret.
#[tokio::test]
async fn wrong_secret_is_rejected() {
    let fake = Arc::new(admin::FakeAdmin::default());
    let server = admin::start_server(fake.clone());
    let wrong = write_file("wrong.secret", "0123456789abcdeX\n");
    let [address, secret] = admin_options(&server, &wrong);

    let drain = basilctl(&["drain", &address, &secret]).await;

    assert_eq!(drain.0, 3, "{drain:?}");
    assert!(drain.2.contains("use the daemon's `secret`"));
    assert!(
        fake.calls
            .lock()
            .expect("no thread panicked while it held the lock")
            .is_empty()
    );
    server.stop();
}
