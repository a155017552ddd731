//! Log lines never block who writes them.

use std::{
    io::Write,
    sync::{Arc, Condvar, Mutex},
};

use foxtailknot::logging::{queue, write_lines};

/// A reader that takes nothing until it is told to.
#[derive(Clone, Default)]
struct Stalled {
    taken: Arc<Mutex<Taken>>,
    changed: Arc<Condvar>,
}

#[derive(Default)]
struct Taken {
    may_go_on: bool,
    bytes: Vec<u8>,
}

impl Stalled {
    fn go_on(&self) {
        self.taken.lock().unwrap().may_go_on = true;
        self.changed.notify_all();
    }
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let taken = self.taken.lock().unwrap();
        let mut taken = self.changed.wait_while(taken, |t| !t.may_go_on).unwrap();
        taken.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn stalled_reader_costs_lines_but_no_time() {
    let (lines, written) = flume::bounded(8);
    let output = Stalled::default();
    let mut writer_output = output.clone();
    let writer = std::thread::spawn(move || write_lines(&written, &mut writer_output));
    for number in 0..1_000 {
        queue(&lines, format!("{number}\n"));
    }
    output.go_on();
    drop(lines);
    writer.join().unwrap();
    let taken = output.taken.lock().unwrap();
    let text = String::from_utf8_lossy(&taken.bytes);
    let kept = text.lines().filter(|l| !l.contains("left out")).count();
    assert!(text.starts_with("0\n"), "{text}");
    assert!((1..1_000).contains(&kept));
    assert!(text.contains("log lines left out"), "{text}");
}
