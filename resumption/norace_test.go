//go:build !race

package resumption

// largeFleets says that tests simulate large fleets too.
const largeFleets = true
