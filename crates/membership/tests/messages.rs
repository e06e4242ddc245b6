//! Messages from anywhere, and claims in any order.

mod common;

use common::{SECOND, address, card, name};
use proptest::prelude::*;
use woadstall_membership::message::{Body, MemberUpdate};
use woadstall_membership::{MemberState, MemberStatus, Message, Node, Settings};

fn node() -> Node {
    Node::new(
        card(0, name("b-0"), 5, 1),
        vec![address(1)],
        Settings::default(),
        1,
        0,
    )
    .unwrap()
}

fn message(news: Vec<MemberUpdate>) -> Message {
    let from = card(1, name("b-1"), 5, 1);
    Message {
        from,
        incarnation: 0,
        to: None,
        body: Body::Gossip,
        news,
        facts: Vec::new(),
    }
}

fn news() -> impl Strategy<Value = MemberUpdate> {
    (2_usize..6, 0_u64..3, 0_u32..3, 0_u8..4).prop_map(|(of, started, incarnation, said)| {
        let card = card(of, name(&format!("b-{of}")), started, 1);
        let said = [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Dead,
            MemberState::Left,
        ][usize::from(said)];
        let life = card.life;
        let claim = if said == MemberState::Left {
            MemberStatus::left(life)
        } else {
            MemberStatus {
                life,
                incarnation,
                said,
            }
        };
        MemberUpdate {
            card,
            claim,
            by: None,
        }
    })
}

proptest! {
    /// What two members hold of others does not depend on the order in which they heard it, nor on how often.
    #[test]
    fn claims_meet(mut all in prop::collection::vec(news(), 1..40), again in any::<prop::sample::Index>()) {
        let told = |all: &[MemberUpdate]| {
            let mut node = node();
            for news in all {
                node.heard(SECOND / 2, &message(vec![news.clone()]).write()).unwrap();
            }
            let all = node.members(SECOND / 2);
            let all = all.map(|seen| (seen.card.name.clone(), (seen.card.clone(), format!("{:?}", seen.state))));
            all.collect::<std::collections::BTreeMap<_, _>>()
        };
        let first = told(&all);
        let again = all[again.index(all.len())].clone();
        all.push(again);
        all.reverse();
        prop_assert_eq!(first, told(&all));
    }

    /// Bytes that are no message change nothing and panic nowhere; nor do parts of one, or one with a byte changed.
    #[test]
    fn garbage_is_refused(bytes in prop::collection::vec(any::<u8>(), 0..300), at in any::<prop::sample::Index>()) {
        let mut node = node();
        if node.heard(1, &bytes).is_err() {
            prop_assert_eq!(node.members(1).count(), 0);
        }
        let whole = message(vec![MemberUpdate {
            card: card(2, name("b-2"), 1, 1),
            claim: MemberStatus { life: card(2, name("b-2"), 1, 1).life, incarnation: 0, said: MemberState::Alive },
            by: None,
        }]).write();
        let mut other = self::node();
        prop_assert!(other.heard(1, &whole[..at.index(whole.len())]).is_err());
        let mut changed = whole.clone();
        let at = at.index(changed.len());
        changed[at] ^= 0x55;
        other.heard(1, &changed).ok();
    }
}

/// Names, settings and facts that are not sound are refused by name.
#[test]
fn what_is_not_sound_is_named() {
    assert!(
        woadstall_membership::Name::new("").is_err()
            && woadstall_membership::Name::new("a b").is_err()
    );
    assert!(woadstall_membership::Name::new(&"x".repeat(65)).is_err());
    let wrong = Settings {
        patience: Settings::default().period,
        ..Settings::default()
    };
    assert!(
        wrong
            .check()
            .unwrap_err()
            .to_string()
            .contains("`patience`")
    );
    let mut node = node();
    let (key, most) = (name("k"), Settings::default().fact_bytes);
    assert!(node.say(1, key.clone(), 1, vec![0; most + 1]).is_err());
    for number in 0..Settings::default().facts_each {
        node.say(1, name(&format!("k-{number}")), 1, Vec::new())
            .unwrap();
    }
    assert!(node.say(1, key, 1, Vec::new()).is_err());
}

/// A forged word that this member is dead, or has left, is contradicted, not believed.
#[test]
fn words_about_oneself_are_contradicted() {
    let mut node = node();
    let me = node.me().clone();
    for claim in [
        MemberStatus {
            life: me.life,
            incarnation: 7,
            said: MemberState::Dead,
        },
        MemberStatus::left(me.life),
    ] {
        let news = MemberUpdate {
            card: me.clone(),
            claim,
            by: None,
        };
        node.heard(1, &message(vec![news]).write()).unwrap();
    }
    node.tick(SECOND / 2);
    assert!(
        node.me().life > me.life,
        "one that is said to have left begins a later life"
    );
    let mut said = Vec::new();
    while let Some(out) = node.next_out() {
        said.extend(Message::read(&out.bytes, 256).unwrap().news);
    }
    assert!(
        said.iter()
            .any(|news| news.card.name == me.name && news.claim.said == MemberState::Alive),
        "{said:?}"
    );
}
