//! A small scenario that tests extend.

#![allow(dead_code, reason = "each test program uses some of it")]

use woadstall_emulator::Scenario;

pub const SMALL: &str = r#"
name = "small"
time = "8 s"
zones = ["a", "b"]

[[class]]
name = "look"
effect = "safe"
aim = "300 ms"
deadline = "1 s"
service = { exponential = "20 ms" }

[[class]]
name = "post"
effect = "unsafe"
aim = "300 ms"
deadline = "1 s"
worth = 2.0
service = { exponential = "20 ms" }

[[class]]
name = "pay"
effect = "keyed"
window = "3 s"
aim = "300 ms"
deadline = "1 s"
worth = 3.0
service = { exponential = "20 ms" }

[[tier]]
name = "only"
balancers = 3
nodos = 6
workers = 2

[[callers]]
name = "all"
classes = { look = 1.0, post = 1.0, pay = 1.0 }
load = { constant = 200.0 }
"#;

pub fn small(more: &str) -> Scenario {
    Scenario::read(&format!("{SMALL}{more}")).unwrap()
}
