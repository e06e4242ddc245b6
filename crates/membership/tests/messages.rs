//! Messages from untrusted sources, and statuses in any order.

mod common;

use common::{SECOND, address, metadata, name};
use proptest::prelude::*;
use std::collections::BTreeMap;
use woadstall_membership::message::{Body, MemberUpdate};
use woadstall_membership::{MemberState, MemberStatus, Message, Node, Settings};

fn node() -> Node {
    Node::new(
        metadata(0, name("b-0"), 5, 1),
        vec![address(1)],
        Settings::default(),
        1,
        0,
    )
    .unwrap()
}

fn message(updates: Vec<MemberUpdate>) -> Message {
    let from = metadata(1, name("b-1"), 5, 1);
    Message {
        from,
        incarnation: 0,
        to: None,
        body: Body::Gossip,
        updates,
        records: Vec::new(),
    }
}

fn any_update() -> impl Strategy<Value = MemberUpdate> {
    let members = 2_usize..6;
    (members, 0_u64..3, 0_u32..3, 0_u8..4).prop_map(|(member, started_ms, incarnation, state)| {
        let metadata = metadata(member, name(&format!("b-{member}")), started_ms, 1);
        let state = [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Dead,
            MemberState::Left,
        ][usize::from(state)];
        let generation = metadata.generation;
        let status = if state == MemberState::Left {
            MemberStatus::left(generation)
        } else {
            MemberStatus {
                generation,
                incarnation,
                state,
            }
        };
        MemberUpdate {
            metadata,
            status,
            by: None,
        }
    })
}

proptest! {
    /// The conclusions of two members do not depend on the order and number of deliveries of
    /// updates.
    #[test]
    fn statuses_converge_in_any_order(
        mut updates in prop::collection::vec(any_update(), 1..40),
        repeated in any::<prop::sample::Index>(),
    ) {
        let conclusions = |updates: &[MemberUpdate]| {
            let mut node = node();
            for update in updates {
                node.receive(SECOND / 2, &message(vec![update.clone()]).encode()).unwrap();
            }
            let observations = node.observations(SECOND / 2);
            let by_name = observations.map(|observation| {
                let verdict = format!("{:?}", observation.verdict);
                (observation.metadata.name.clone(), (observation.metadata.clone(), verdict))
            });
            by_name.collect::<BTreeMap<_, _>>()
        };
        let in_order = conclusions(&updates);
        let repeated = updates[repeated.index(updates.len())].clone();
        updates.push(repeated);
        updates.reverse();
        prop_assert_eq!(in_order, conclusions(&updates));
    }

    /// Input that is not a message changes nothing and never panics. A truncated message is
    /// rejected, and a message with one changed byte never panics.
    #[test]
    fn malformed_messages_change_nothing(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        position in any::<prop::sample::Index>(),
    ) {
        let mut node = node();
        if node.receive(1, &bytes).is_err() {
            prop_assert_eq!(node.observations(1).count(), 0);
        }
        let complete = message(vec![MemberUpdate {
            metadata: metadata(2, name("b-2"), 1, 1),
            status: MemberStatus { generation: metadata(2, name("b-2"), 1, 1).generation, incarnation: 0, state: MemberState::Alive },
            by: None,
        }]).encode();
        let mut other = self::node();
        prop_assert!(other.receive(1, &complete[..position.index(complete.len())]).is_err());
        let mut changed = complete.clone();
        let position = position.index(changed.len());
        changed[position] ^= 0x55;
        other.receive(1, &changed).ok();
    }
}

/// Invalid names, settings and records are rejected, and the error about a setting names it.
#[test]
fn invalid_names_settings_and_records_are_rejected() {
    assert!(
        woadstall_membership::Name::new("").is_err()
            && woadstall_membership::Name::new("a b").is_err()
    );
    assert!(woadstall_membership::Name::new(&"x".repeat(65)).is_err());
    let invalid = Settings {
        probe_timeout: Settings::default().probe_interval,
        ..Settings::default()
    };
    assert!(
        invalid
            .check()
            .unwrap_err()
            .to_string()
            .contains("`patience`")
    );
    let mut node = node();
    let (key, max_bytes) = (name("k"), Settings::default().max_record_bytes);
    assert!(
        node.publish(1, key.clone(), 1, vec![0; max_bytes + 1])
            .is_err()
    );
    for number in 0..Settings::default().max_records_per_owner {
        node.publish(1, name(&format!("k-{number}")), 1, Vec::new())
            .unwrap();
    }
    assert!(node.publish(1, key, 1, Vec::new()).is_err());
}

/// A forged update that the local member is dead, or has left, is refuted.
#[test]
fn updates_about_the_local_member_are_refuted() {
    let mut node = node();
    let local = node.local().clone();
    for status in [
        MemberStatus {
            generation: local.generation,
            incarnation: 7,
            state: MemberState::Dead,
        },
        MemberStatus::left(local.generation),
    ] {
        let update = MemberUpdate {
            metadata: local.clone(),
            status,
            by: None,
        };
        node.receive(1, &message(vec![update]).encode()).unwrap();
    }
    node.tick(SECOND / 2);
    assert!(
        node.local().generation > local.generation,
        "a member that is reported to have left starts a later generation"
    );
    let mut sent = Vec::new();
    while let Some(outgoing) = node.next_outgoing() {
        sent.extend(Message::decode(&outgoing.bytes, 256).unwrap().updates);
    }
    assert!(
        sent.iter().any(|update| update.metadata.name == local.name
            && update.status.state == MemberState::Alive),
        "{sent:?}"
    );
}
