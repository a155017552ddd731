//! Signals are received for as long as the process runs. If a listener is replaced
//! too late, the default action of the next signal ends the process.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use foxtailknot::signals::{HANGUP, SignalWatch};
use rustix::process::{Signal, getpid, kill_process};

/// Number of signals sent in quick succession.
const SIGNAL_COUNT: usize = 2_000;

#[test]
fn receives_signals_in_quick_succession() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    let is_done = Arc::new(AtomicBool::new(false));
    let mut watch = runtime.enter(|| SignalWatch::new(HANGUP));
    let sender_done = is_done.clone();
    let sender = std::thread::spawn(move || {
        for _ in 0..SIGNAL_COUNT {
            kill_process(getpid(), Signal::HUP).unwrap();
            std::thread::yield_now();
        }
        sender_done.store(true, Ordering::SeqCst);
    });
    let received = runtime.block_on(async {
        let mut received = 0;
        while !is_done.load(Ordering::SeqCst) || received == 0 {
            let next = compio::time::timeout(Duration::from_millis(200), watch.next());
            if let Ok(result) = next.await {
                result.unwrap();
                received += 1;
            }
        }
        received
    });
    sender.join().unwrap();
    // A signal may still be pending, so its handler must stay installed.
    std::mem::forget(watch);
    assert!(received > 0);
}
