//! Prints the table of keys in docs/CONFIGURATION.md.

fn main() {
    print!(
        "{}",
        bellyoke_node::process::command_line::reference_table()
    );
}
