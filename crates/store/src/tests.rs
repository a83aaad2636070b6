mod accepted_state;
mod damage;
mod durability;
mod flaky_disk;
mod folder;
mod learned_servers;
