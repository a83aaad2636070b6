mod columns;
mod entry;
mod framing;
mod recorder;
mod segment;
mod support;
mod writer;
