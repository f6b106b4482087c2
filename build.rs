//! Compiles the schema of the operators' settings into a descriptor set that is embedded in
//! the program.
use std::{env, fs, path::PathBuf};

use prost::Message;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=deploy/operator.proto");
    let descriptor_set = protox::compile(["operator.proto"], ["deploy"])?;
    let descriptor_path = PathBuf::from(env::var("OUT_DIR")?).join("operator.bin");
    fs::write(descriptor_path, descriptor_set.encode_to_vec())?;
    Ok(())
}
