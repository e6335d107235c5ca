//! Prints the table of settings keys for docs/CONFIGURATION.md.

fn main() {
    print!(
        "{}",
        bellyoke_node::process::command_line::reference_table()
    );
}
