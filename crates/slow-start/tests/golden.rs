//! Golden tests of the encoding of reports, which senders of other versions must be able to read.

use woadstall_slow_start::{Lease, Rates, Report, ReportError};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn report(leases: Vec<Lease>) -> Report {
    Report {
        unmet_demand: 1.5,
        on_time: 20.25,
        failed: 0.125,
        leases,
    }
}

fn lease(borrower: u64, number: u32, rate: f32) -> Lease {
    Lease {
        borrower,
        number,
        rate,
    }
}

fn assert_golden(report: &Report, expected: &str) {
    let bytes = report.encode(256);
    assert_eq!(hex(&bytes), expected);
    assert_eq!(Report::decode(&bytes).unwrap(), *report);
}

#[test]
fn a_report_without_leases_has_the_recorded_bytes() {
    assert_golden(&report(Vec::new()), "010000c03f0000a2410000003e00");
}

#[test]
fn a_report_with_leases_has_the_recorded_bytes() {
    assert_golden(
        &report(vec![
            lease(7, 1, 6.5),
            lease(0x0102_0304_0506_0708, 300, 0.75),
        ]),
        "010000c03f0000a2410000003e0207010000d040888e98a8c0e0808101ac020000403f",
    );
}

#[test]
fn an_empty_report_has_the_recorded_bytes() {
    assert_golden(&Report::default(), "0100000000000000000000000000");
}

#[test]
fn the_smallest_leases_are_left_out_of_a_report_that_is_too_long() {
    let rates = Rates {
        demand: 9.0,
        on_time: 4.0,
        failed: 1.0,
        failed_fraction: 0.2,
    };
    let leases = (1..=12)
        .map(|number| lease(u64::from(number) << 32, number, number as f32))
        .collect();
    let report = Report::new(&rates, 5.0, leases);
    let numbers: Vec<u32> = report.leases.iter().map(|lease| lease.number).collect();
    assert_eq!(numbers, [12, 11, 10, 9, 8, 7, 6, 5]);
    assert_eq!(
        hex(&report.encode(40)),
        "010000a040000080400000803f0280808080c0010c0000404180808080b0010b00003041"
    );
}

#[test]
fn an_unsupported_version_and_an_empty_input_are_rejected() {
    let mut bytes = report(Vec::new()).encode(256);
    bytes[0] = 2;
    assert_eq!(
        Report::decode(&bytes),
        Err(ReportError::UnsupportedVersion(2))
    );
    assert_eq!(Report::decode(&[]), Err(ReportError::Empty));
}
