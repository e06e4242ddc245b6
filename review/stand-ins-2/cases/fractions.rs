//! CONFIG: a configuration is read back with other numbers than were sent.

use super::deploy;
use crate::deployment::{Deployment, configuration, route, service};
use crate::record::Record;

/// Figures of services in the changes. Each is the shortest text of its number, as programs write numbers.
const SENT: [&str; 8] = [
    "24.994982502650654",
    "31.010170774353558",
    "21.625015281244718",
    "15.507560981074427",
    "10.841797560597211",
    "21.333333333333332",
    "20.299999999999997",
    "12.5",
];

pub fn run(folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let names: Vec<String> = (0..SENT.len())
        .map(|number| format!("svc-{number}"))
        .collect();
    let routes = [route(
        "r-0",
        "/a/",
        "safe",
        &names[0],
        r#","max_attempts":2"#,
    )];
    let first: Vec<String> = names.iter().map(|name| service(name, "21.0")).collect();
    let deployment = deploy(1, &configuration(1, &routes, &first))?;
    record.line("the operator's configuration 1 is acknowledged: every warmup_per_s is 21.0");
    let mut expected = vec!["21.0"; SENT.len()];
    if trouble {
        let changed: Vec<String> = names
            .iter()
            .zip(SENT)
            .map(|(name, rate)| service(name, rate))
            .collect();
        let change = format!(
            r#"{{"generation":2,"upsert":{{"services":[{}]}}}}"#,
            changed.join(",")
        );
        record.line(format!(
            "the operator sends PATCH /v1/config with If-Match 1: {change}"
        ));
        deployment.configure("PATCH", 1, &change)?;
        record.line("configuration 2 is acknowledged");
        expected = SENT.to_vec();
    }
    compare(&deployment, &names, &expected, &record)
}

/// Reads the configuration back and compares its numbers. Returns whether one differs.
fn compare(
    deployment: &Deployment,
    names: &[String],
    expected: &[&str],
    record: &Record,
) -> Result<bool, String> {
    let read = deployment.read_configuration()?.text();
    record.line(format!("GET /v1/config: {read}"));
    let mut differing = 0;
    for (name, sent) in names.iter().zip(expected) {
        let found = figure(&read, name).ok_or(format!("{name} is missing"))?;
        // Both texts are read as the nearest binary number, as IEEE 754 says.
        let number = |text: &str| text.parse::<f64>().map_err(|error| error.to_string());
        let is_equal = number(sent)?.to_bits() == number(&found)?.to_bits();
        differing += usize::from(!is_equal);
        record.line(format!(
            "{name}: sent {sent}, read back {found}{}",
            if is_equal { "" } else { ": differs" }
        ));
    }
    record.line(format!(
        "{differing} numbers differ: CONFIG is {}",
        if differing > 0 { "broken" } else { "kept" }
    ));
    Ok(differing > 0)
}

/// The `warmup_per_s` of a service in a configuration, as text.
fn figure(configuration: &str, service: &str) -> Option<String> {
    let services = configuration.split(r#""services":"#).nth(1)?;
    let object = services
        .split('{')
        .find(|object| object.contains(&format!("\"{service}\"")))?;
    let rest = object.split(r#""warmup_per_s":"#).nth(1)?;
    let end = rest.find([',', '}', ' '])?;
    Some(rest[..end].trim().to_owned())
}
