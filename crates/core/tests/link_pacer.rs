//! Tests of the pacing of bytes on a link between regions.

use {
    hemlockspool_core::{clock::Moment, requests::limits::LinkPacer},
    std::time::Duration,
};

const BYTES_PER_S: u64 = 1_000_000;
const PIECE_BYTES: u64 = 16_000;

/// Sends pieces from several senders, none of which runs during a pause, and returns the times at
/// which they were sent, in microseconds.
fn send_times(senders: usize, pieces: usize, paused_us: std::ops::Range<u64>) -> Vec<u64> {
    let mut pacer = LinkPacer::default();
    let now = Moment(1);
    // The time at which each sender wakes up, and whether its reserved time has begun by then.
    let wake = |at: u64| if paused_us.contains(&at) { paused_us.end } else { at };
    let reserve = |pacer: &mut LinkPacer, now: Moment| {
        let wait = pacer.reserve(PIECE_BYTES, BYTES_PER_S, now).unwrap();
        wake(now.after(wait).0)
    };
    let mut wakes: Vec<u64> = (0..senders).map(|_| reserve(&mut pacer, now)).collect();
    let mut sent = Vec::new();
    while sent.len() < pieces {
        let (index, at) = wakes.iter().copied().enumerate().min_by_key(|(_, at)| *at).unwrap();
        let wait = pacer.begin(PIECE_BYTES, BYTES_PER_S, Moment(at)).unwrap();
        wakes[index] = if wait.is_zero() {
            sent.push(at);
            reserve(&mut pacer, Moment(at))
        } else {
            wake(Moment(at).after(wait).0)
        };
    }
    sent
}

fn peak_bytes_per_s(sent: &[u64]) -> u64 {
    let within = |from: u64| sent.iter().filter(move |at| (from..from + 1_000_000).contains(*at));
    sent.iter().map(|from| within(*from).count() as u64 * PIECE_BYTES).max().unwrap_or(0)
}

/// Guards against a link that carries more than its rate after a pause, when the senders that
/// waited for their turn during the pause all send at once.
#[test]
fn link_pacer_late_senders() {
    for paused_us in [0..0, 200_000..250_000, 200_000..500_000, 100_000..1_100_000] {
        let sent = send_times(8, 200, paused_us.clone());
        let peak = peak_bytes_per_s(&sent);
        assert!(peak <= BYTES_PER_S + PIECE_BYTES, "{peak} bytes with a pause {paused_us:?}");
    }
}

/// Guards against a link that is used in part only, although senders wait for it.
#[test]
fn link_pacer_uses_whole_rate() {
    let sent = send_times(8, 200, 0..0);
    let needed = Duration::from_micros(200 * PIECE_BYTES * 1_000_000 / BYTES_PER_S);
    let elapsed = Duration::from_micros(*sent.last().unwrap());
    assert!(elapsed <= needed.mul_f64(1.02), "{elapsed:?} instead of {needed:?}");
}
