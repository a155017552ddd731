//! Plays the scripted cases of this review: `rig CASE FOLDER`, from the root of the
//! repository. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cases;
mod client;
mod group;
mod json;
mod platform;
mod record;
mod vm;

use std::{
    env,
    path::{Path, PathBuf},
    process::exit,
    thread,
    time::Duration,
};

use cases::Stage;

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: rig CASE FOLDER");
        exit(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case takes too long");
        exit(2);
    });
    let root = env::current_dir().expect("current folder");
    let scratch = env::temp_dir().join(format!("foxtailknot-review-{}", std::process::id()));
    let played = play(&root, Path::new(folder), &scratch, case);
    if env::var_os("KEEP").is_none() {
        // The system clears the rest.
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        println!("logs in {}", scratch.display());
    }
    match played {
        Ok(true) => println!("the rule held"),
        Ok(false) => println!("the rule was broken"),
        Err(_) => println!("the case could not run"),
    }
    exit(match played {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    });
}

fn play(root: &Path, folder: &Path, scratch: &PathBuf, case: &str) -> thread::Result<bool> {
    std::fs::create_dir_all(scratch).expect("scratch folder");
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    std::panic::catch_unwind(|| {
        let stage = Stage::new(root, folder, scratch, has_trouble);
        match case {
            "moves" => cases::moves(&stage),
            "names" => cases::names(&stage),
            "answers" => cases::answers(&stage),
            _ => panic!("no such case"),
        }
    })
}
