//! Prints the table of keys of docs/CONFIGURATION.md, to be pasted there.

fn main() {
    print!(
        "{}",
        bellyoke_balancer::process::settings::reference_table()
    );
}
