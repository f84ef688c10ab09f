//go:build !race

package coordination_test

// largeFleets enables tests of large fleets.
const largeFleets = true
