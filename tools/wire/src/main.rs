//! Writes `src/wire/generated.rs` from `proto/peer.proto`; needs no installed compiler.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let set = protox::compile([root.join("proto/peer.proto")], [root.join("proto")])?;
    let out = std::env::temp_dir().join("chiveway-wire");
    std::fs::create_dir_all(&out)?;
    prost_build::Config::new()
        .out_dir(&out)
        .compile_fds(set)?;
    let made = out.join("chiveway.peer.v1.rs");
    std::fs::copy(made, root.join("src/wire/generated.rs"))?;
    Ok(())
}
