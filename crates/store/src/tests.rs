mod accepted_state;
mod durability;
mod flaky_disk;
mod folder;
mod learned_servers;
