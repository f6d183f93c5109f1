//! Tokens of a request whose attempts run, are refused or stay unanswered.

use peridotslip::ledger::RequestUsage;

const PROMPT: u64 = 90;

/// Returns the usage of a request that was sent `attempts` times.
fn sent(attempts: u32) -> RequestUsage {
    let mut usage = RequestUsage::default();
    for _ in 0..attempts {
        usage.record_send(PROMPT);
    }
    usage
}

/// Guards against billing a request that was never sent, or that no server ran.
#[test]
fn only_attempts_that_may_have_run_count() {
    let mut refused = sent(2);
    refused.record_not_run();
    let one_refused = refused;
    refused.record_not_run();

    assert_eq!(RequestUsage::default().tokens(), 0);
    assert_eq!(sent(1).tokens(), PROMPT);
    assert_eq!(one_refused.tokens(), PROMPT);
    assert_eq!(refused.tokens(), 0);
}

/// Guards against billing a prompt with each attempt.
#[test]
fn prompt_of_several_attempts_counts_once() {
    let mut usage = sent(3);

    usage.raise_output(20);

    assert_eq!(usage.tokens(), PROMPT + 20);
}

/// Guards against a refusal that takes back what another attempt has used.
#[test]
fn refusal_takes_back_its_own_attempt_only() {
    let mut usage = sent(2);
    usage.raise_output(20);
    usage.raise_output(3);

    usage.record_not_run();

    assert_eq!(usage.tokens(), PROMPT + 20);
}
