//! Prints the table of docs/EVENTS.md, to be pasted there.

fn main() {
    print!("{}", bellyoke_api::catalogue::event_table());
}
