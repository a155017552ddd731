//! Logging doesn't block the calling thread when standard output stalls.

use std::{
    io::Write,
    sync::{Arc, Condvar, Mutex},
};

use foxtailknot::logging::{enqueue, write_lines};

/// An output that blocks every write until it is resumed.
#[derive(Clone, Default)]
struct StalledOutput {
    state: Arc<Mutex<OutputState>>,
    resumed: Arc<Condvar>,
}

#[derive(Default)]
struct OutputState {
    is_resumed: bool,
    written: Vec<u8>,
}

impl StalledOutput {
    fn resume(&self) {
        self.state.lock().unwrap().is_resumed = true;
        self.resumed.notify_all();
    }
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let state = self.state.lock().unwrap();
        let mut state = self.resumed.wait_while(state, |s| !s.is_resumed).unwrap();
        state.written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn stalled_output_drops_lines_without_blocking() {
    let (sender, receiver) = flume::bounded(8);
    let output = StalledOutput::default();
    let mut writer_output = output.clone();
    let writer = std::thread::spawn(move || write_lines(&receiver, &mut writer_output));
    for number in 0..1_000 {
        enqueue(&sender, format!("{number}\n"));
    }
    output.resume();
    drop(sender);
    writer.join().unwrap();
    let state = output.state.lock().unwrap();
    let text = String::from_utf8_lossy(&state.written);
    let kept = text.lines().filter(|l| !l.contains("left out")).count();
    assert!(text.starts_with("0\n"), "{text}");
    assert!((1..1_000).contains(&kept));
    assert!(text.contains("log lines left out"), "{text}");
}
