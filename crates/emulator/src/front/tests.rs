//! Unit tests of `front`.

use super::*;
use rand::SeedableRng;

/// Number of idle connections in all zones.
fn idle_connections(front: &Front) -> usize {
    front.idle.iter().map(Vec::len).sum()
}

fn front(max_weight_ratio: f64) -> (Front, ChaCha8Rng) {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    (
        Front::new(&[vec![0, 1, 2], vec![3]], max_weight_ratio, 1_000, &mut rng),
        rng,
    )
}

#[test]
fn connections_are_reused_until_idle_timeout_or_close() {
    let (mut front, mut rng) = front(1.0);
    let (connection, is_new) = front.acquire(0, 0, &mut rng).unwrap();
    assert!(is_new && connection.balancer < 3);
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
fn balancers_detected_down_are_skipped_and_other_zones_take_over() {
    let (mut front, mut rng) = front(1.0);
    front.set_detected_down(0, true);
    front.set_detected_down(1, true);
    assert!((0..50).all(|_| front.acquire(0, 0, &mut rng).unwrap().0.balancer == 2));
    front.set_detected_down(2, true);
    let connection = front.acquire(0, 0, &mut rng).unwrap().0;
    assert_eq!((connection.zone, connection.balancer), (0, 3));
    front.set_detected_down(3, true);
    assert_eq!(front.acquire(0, 0, &mut rng), None);
    front.set_detected_down(1, false);
    assert_eq!(front.acquire(1, 0, &mut rng).unwrap().0.balancer, 1);
}

#[test]
fn weights_spread_over_the_configured_ratio() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let balancers: Vec<u32> = (0..400).collect();
    let front = Front::new(&[balancers], 20.0, 1_000, &mut rng);
    let weights = || front.zones[0].iter().map(|fronted| fronted.weight);
    let (least, most) = (
        weights().fold(f64::MAX, f64::min),
        weights().fold(0.0, f64::max),
    );
    assert!(
        (1.0..1.2).contains(&least) && (18.0..=20.0).contains(&most),
        "{least} {most}"
    );
}
