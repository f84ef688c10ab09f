//go:build race

package coordination_test

// largeFleets enables tests of large fleets. With the race detector they take minutes, so CI runs
// them without it.
const largeFleets = false
