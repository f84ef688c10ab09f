//go:build race

package quota

// largeFleets says that tests simulate large fleets too. With the race detector they take minutes;
// CI runs them without it.
const largeFleets = false
