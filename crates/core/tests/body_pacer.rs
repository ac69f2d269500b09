//! Bodies of callers' requests on an entry's narrow link.

#[path = "common/routing.rs"]
mod routing;

use {
    hemlockspool_core::{
        clock::Moment,
        traffic::body_pacer::{BodyId, BodyPacer, PIECE_BYTES_MAX, PieceTurn},
    },
    routing::at,
    std::{collections::BTreeMap, time::Duration},
};

/// A link of 7.2 Mbit/s, in bytes per second.
const BYTES_PER_S: f64 = 900_000.0;
/// The bytes of a head.
const HEAD_BYTES: u64 = 450;

/// A body that begins at some time, and the time of its last piece.
struct TestBody {
    begins_at: Moment,
    bytes: u64,
    left: u64,
    ended_at: Option<Moment>,
}

fn body(begins_ms: u64, bytes: u64) -> TestBody {
    TestBody { begins_at: at(begins_ms), bytes, left: bytes, ended_at: None }
}

/// Writes bodies whose callers send them at once, beside a head every `head_interval_ms`. Returns the
/// longest time that a head waits for what was written to the link before.
fn run(bodies: &mut [TestBody], head_interval_ms: u64) -> Duration {
    let mut pacer = BodyPacer::new(BYTES_PER_S);
    let mut ids: BTreeMap<usize, BodyId> = BTreeMap::new();
    let (mut link_free_at, mut longest) = (at(0), Duration::ZERO);
    let mut write = |bytes: u64, now: Moment| {
        let waited = link_free_at.since(now);
        link_free_at =
            now.max(link_free_at).after(Duration::from_secs_f64(bytes as f64 / BYTES_PER_S));
        waited
    };
    for now_ms in 0..20_000 {
        let now = at(now_ms);
        if now_ms % head_interval_ms == 0 {
            pacer.record_written(HEAD_BYTES, now);
            longest = longest.max(write(HEAD_BYTES, now));
        }
        for (index, body) in bodies.iter_mut().enumerate() {
            if now < body.begins_at || body.ended_at.is_some() {
                continue;
            }
            let id = *ids.entry(index).or_insert_with(|| pacer.begin(now));
            let piece = (body.left as usize).min(PIECE_BYTES_MAX);
            if pacer.request_turn(id, piece, Some(body.left), now) == PieceTurn::Write {
                write(piece as u64, now);
                body.left -= piece as u64;
                if body.left == 0 {
                    body.ended_at = Some(now);
                    pacer.end(id);
                }
            }
        }
    }
    longest
}

fn duration(body: &TestBody) -> Duration {
    body.ended_at.expect("the body was written").since(body.begins_at)
}

/// Guards against heads and responses that wait for uploads which many callers send at once.
#[test]
fn body_pacer_heads_pass_uploads() {
    let mut bodies: Vec<TestBody> = (0..20).map(|number| body(number * 10, 60_000)).collect();
    let longest = run(&mut bodies, 5);
    assert!(longest < Duration::from_millis(15), "a head waited for {longest:?}");
}

/// Guards against small bodies that wait for uploads which were there before them.
#[test]
fn body_pacer_small_body_passes_uploads() {
    let mut bodies: Vec<TestBody> = (0..10).map(|_| body(0, 60_000)).collect();
    bodies.push(body(50, 4_000));
    run(&mut bodies, 20);
    let small = duration(&bodies[10]);
    assert!(small < Duration::from_millis(20), "{small:?}");
}

/// Guards against a link that is idle while bodies wait for it.
#[test]
fn body_pacer_uses_whole_link() {
    let mut bodies: Vec<TestBody> = (0..10).map(|_| body(0, 60_000)).collect();
    run(&mut bodies, 100);
    let all: u64 = bodies.iter().map(|body| body.bytes).sum();
    let needed = Duration::from_secs_f64(all as f64 / BYTES_PER_S);
    let taken = bodies.iter().map(duration).max().unwrap();
    assert!(taken < needed.mul_f64(1.1), "{taken:?} instead of {needed:?}");
}

/// Guards against a large upload that smaller ones pass without end while they fill the link.
#[test]
fn body_pacer_large_body_ends() {
    let mut bodies: Vec<TestBody> = (0..900).map(|number| body(number * 20, 18_000)).collect();
    bodies.push(body(100, 360_000));
    run(&mut bodies, 100);
    let large = duration(&bodies[900]);
    assert!(large < Duration::from_millis(8_000), "{large:?}");
}

/// Guards against a body that waits for one whose caller has left or sends nothing.
#[test]
fn body_pacer_skips_silent_bodies() {
    let mut pacer = BodyPacer::new(BYTES_PER_S);
    let (small, large) = (pacer.begin(at(0)), pacer.begin(at(0)));
    pacer.record_written(100_000, at(0));
    assert_ne!(pacer.request_turn(small, 1_000, Some(1_000), at(1)), PieceTurn::Write);
    assert_eq!(pacer.request_turn(large, 4_000, Some(60_000), at(1)), PieceTurn::Queue);
    pacer.end(small);
    assert_eq!(pacer.next(), Some(large));
    let turn = pacer.request_turn(large, 4_000, Some(60_000), at(1));
    let PieceTurn::Wait(duration) = turn else { panic!("{turn:?}") };
    let later = at(1).after(duration);
    assert_eq!(pacer.request_turn(large, 4_000, Some(60_000), later), PieceTurn::Write);
    // It has no further piece yet, so others don't wait for it.
    let other = pacer.begin(later);
    assert_ne!(pacer.request_turn(other, 4_000, None, later), PieceTurn::Queue);
}
