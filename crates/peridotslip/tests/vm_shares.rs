//! The shares of VMs of all sizes.

use peridotslip::vm_shares::{Error, VmShares};

/// Longest body that operators permit on the smallest VMs, in bytes.
const LONGEST_BODY: usize = 4 << 20;

/// Guards against shares that together exceed the VM, and against a longest body that a
/// calm router refuses: a body may hold at most as much as stays free.
#[test]
fn shares_fit_into_the_vm() {
    for (memory_mb, max_fds) in [
        (88, 4_100),
        (110, 4_100),
        (120, 3_075),
        (160, 4_100),
        (512, 8_192),
    ] {
        let memory = memory_mb * 1_000_000;
        let shares = VmShares::new(memory, max_fds).unwrap();

        let bytes =
            shares.request_bodies + shares.responses + shares.connections + shares.peer_messages;
        assert!(bytes <= memory * 8 / 10, "{shares:?}");
        assert!(shares.request_bodies >= 2 * LONGEST_BODY, "{shares:?}");
        // Each caller may need a connection to a server.
        let sockets = 2 * shares.caller_sockets + shares.peer_sockets + 2 * shares.status_sockets;
        assert!(sockets < max_fds - 200, "{shares:?}");
    }
}

/// Guards against a router that starts where it can't run.
#[test]
fn too_small_vms_are_refused() {
    assert_eq!(VmShares::new(20_000_000, 4_100), Err(Error::Memory));
    assert_eq!(VmShares::new(88_000_000, 220), Err(Error::Descriptors));
    assert!(VmShares::new(0, 0).is_ok());
}
