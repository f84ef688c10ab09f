//go:build !race

package quota

// largeFleets says that tests simulate large fleets too.
const largeFleets = true
