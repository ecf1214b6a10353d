//! Bugs that a model checker injects into lease servers and holders.

/// Bugs that the model checker injects to check that it finds them. A program that serves has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// The server reuses capacity as soon as it has sent a smaller grant.
    ReuseBeforeAcknowledgement,
    /// The server forgets a lease as soon as it expires, without the allowance for clock drift.
    NoDrift,
    /// The server identifies instances by their names and not by their starts.
    IdentifyByName,
    /// A server that starts grants at once, without waiting for the former server's leases to expire.
    NoRecovery,
    /// A server remembers the duration of its own leases only, and not that of the former server's.
    ForgetFormerDuration,
    /// An instance counts the duration of a lease from its arrival.
    CountFromArrival,
    /// An instance accepts every grant, however old.
    NoFencing,
    /// An instance fills its bucket with each grant.
    RefillOnGrant,
    /// The server reuses the capacity of requests in flight when the lease expires.
    ForgetInFlight,
}

#[cfg(any(test, feature = "explore"))]
thread_local! {
    static INJECTED_BUG: std::cell::Cell<Option<InjectedBug>> = const { std::cell::Cell::new(None) };
}

/// Calls `run` with a bug injected into all lease servers and holders of this thread.
#[cfg(any(test, feature = "explore"))]
pub fn with_injected_bug<T>(bug: Option<InjectedBug>, run: impl FnOnce() -> T) -> T {
    let former = INJECTED_BUG.replace(bug);
    let result = run();
    INJECTED_BUG.set(former);
    result
}

/// Whether a bug is injected. Always false in a program that serves.
#[inline]
pub(crate) fn is_injected(_bug: InjectedBug) -> bool {
    #[cfg(any(test, feature = "explore"))]
    return INJECTED_BUG.get() == Some(_bug);
    #[cfg(not(any(test, feature = "explore")))]
    false
}
