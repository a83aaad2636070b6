//! Complete, unfinished and malformed batches.

use super::run;

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let mut output = Vec::new();
    let input = "{\"verb\":\"FRAME\",\"clockS\":8.4}\n{\"verb\":\"COMMIT\"}\n";
    assert!(run(input.as_bytes(), &mut output).is_ok());
    assert_eq!(output, b"{\"verb\":\"NEXT\"}\n");
}

#[test]
fn input_that_ends_inside_a_batch_is_an_error() {
    let result = run("{\"verb\":\"FRAME\",\"clockS\":1}\n".as_bytes(), Vec::new());
    assert_eq!(result.unwrap_err().to_string(), "the input ends inside a batch");
}

#[test]
fn a_malformed_line_is_an_error_with_its_number() {
    let result = run("{\"verb\":\"FRAME\",\"clockS\":1}\nnonsense\n".as_bytes(), Vec::new());
    assert!(result.is_err_and(|error| error.to_string().starts_with("line 2: malformed")));
}

#[test]
fn an_unknown_kind_of_event_is_ignored() {
    let input = "{\"verb\":\"FRAME\",\"clockS\":1}\n{\"verb\":\"NEW\",\"x\":1}\n{\"verb\":\"COMMIT\"}\n";
    assert!(run(input.as_bytes(), Vec::new()).is_ok());
}
