use super::reserve_addresses;
use std::collections::BTreeSet;
use std::net::TcpListener;

#[test]
fn a_reserved_address_can_be_listened_on_repeatedly_and_is_not_assigned_again() {
    // Given
    let reserved = reserve_addresses::<64>().unwrap();

    // When
    let threads: Vec<_> = (0..8).map(|_| std::thread::spawn(|| reserve_addresses::<64>().unwrap())).collect();
    let others = threads.into_iter().flat_map(|thread| thread.join().unwrap());

    // Then
    assert_eq!(reserved.into_iter().chain(others).collect::<BTreeSet<_>>().len(), 9 * 64);
    for address in reserved {
        let planner = TcpListener::bind(address).unwrap();
        assert!(TcpListener::bind(address).is_err(), "two listen at {address}");
        drop(planner);
        TcpListener::bind(address).unwrap();
    }
    let listen_anywhere = || TcpListener::bind("127.0.0.1:0").unwrap();
    let open: Vec<TcpListener> = (0..200).map(|_| listen_anywhere()).collect();
    assert!(open.iter().all(|listener| !reserved.contains(&listener.local_addr().unwrap())));
}
