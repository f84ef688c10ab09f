//go:build race

package resumption

// largeFleets says that tests simulate large fleets too. With the race detector they take minutes;
// CI runs them without it.
const largeFleets = false
