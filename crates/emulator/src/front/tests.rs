//! Tests of `front`.

use super::*;
use rand::SeedableRng;

/// How many connections are idle.
fn idle_connections(front: &Front) -> usize {
    front.idle.iter().map(Vec::len).sum()
}

fn front(uneven: f64) -> (Front, ChaCha8Rng) {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    (
        Front::new(&[vec![0, 1, 2], vec![3]], uneven, 1_000, &mut rng),
        rng,
    )
}

#[test]
fn connections_are_used_again_until_they_idled_too_long_or_were_closed() {
    let (mut front, mut rng) = front(1.0);
    let (connection, fresh) = front.acquire(0, 0, &mut rng).unwrap();
    assert!(fresh && connection.balancer < 3);
    front.release(connection, 10);
    assert_eq!(front.acquire(0, 500, &mut rng), Some((connection, false)));
    front.release(connection, 500);
    assert!(
        front.acquire(0, 1_500, &mut rng).unwrap().1,
        "it has idled for 1,000"
    );
    assert_eq!(idle_connections(&front), 0);
    front.release(connection, 1_500);
    front.close(connection.balancer);
    assert!(front.acquire(0, 1_500, &mut rng).unwrap().1);
}

#[test]
fn the_dead_are_dealt_to_until_they_are_noticed_and_then_other_zones_stand_in() {
    let (mut front, mut rng) = front(1.0);
    front.set_out(0, true);
    front.set_out(1, true);
    assert!((0..50).all(|_| front.acquire(0, 0, &mut rng).unwrap().0.balancer == 2));
    front.set_out(2, true);
    let connection = front.acquire(0, 0, &mut rng).unwrap().0;
    assert_eq!((connection.zone, connection.balancer), (0, 3));
    front.set_out(3, true);
    assert_eq!(front.acquire(0, 0, &mut rng), None);
    front.set_out(1, false);
    assert_eq!(front.acquire(1, 0, &mut rng).unwrap().0.balancer, 1);
}

#[test]
fn weights_are_as_uneven_as_configured() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let all: Vec<u32> = (0..400).collect();
    let front = Front::new(&[all], 20.0, 1_000, &mut rng);
    let weights = || front.zones[0].iter().map(|one| one.weight);
    let (least, most) = (
        weights().fold(f64::MAX, f64::min),
        weights().fold(0.0, f64::max),
    );
    assert!(
        (1.0..1.2).contains(&least) && (18.0..=20.0).contains(&most),
        "{least} {most}"
    );
}
