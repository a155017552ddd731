//! Signals are heard for as long as the process runs: a listener that is
//! replaced too late lets the default action end the process.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use foxtailknot::signals::{HANGUP, SignalWatch};
use rustix::process::{Signal, getpid, kill_process};

/// Signals sent, close together.
const SIGNALS: usize = 2_000;

#[test]
fn hears_signals_in_quick_succession() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    let is_done = Arc::new(AtomicBool::new(false));
    let mut watch = runtime.enter(|| SignalWatch::new(HANGUP));
    let seen = is_done.clone();
    let sender = std::thread::spawn(move || {
        for _ in 0..SIGNALS {
            kill_process(getpid(), Signal::HUP).unwrap();
            std::thread::yield_now();
        }
        seen.store(true, Ordering::SeqCst);
    });
    let heard = runtime.block_on(async {
        let mut heard = 0;
        while !is_done.load(Ordering::SeqCst) || heard == 0 {
            let next = compio::time::timeout(Duration::from_millis(200), watch.next());
            if let Ok(result) = next.await {
                result.unwrap();
                heard += 1;
            }
        }
        heard
    });
    sender.join().unwrap();
    // A signal may still be on its way to this thread.
    std::mem::forget(watch);
    assert!(heard > 0);
}
