// Package mechanism names the policies that the lab can switch off one by one, to measure
// what each is worth. The switch is a variable that only the linker can set:
//
//	go build -ldflags "-X github.com/wheatweir/wheatweir/internal/mechanism.off=forecast" ./cmd/...
//
// No setting, argument or environment variable reaches it, so it cannot be off in production.
package mechanism

import (
	"slices"
	"strings"
)

// Name is one mechanism.
type Name string

// All mechanisms that can be switched off.
const (
	// Forecast refuses at once what cannot begin in time.
	Forecast Name = "forecast"
	// Hold keeps less urgent requests here while the batch of their instance is full.
	Hold Name = "hold"
	// Yield keeps background requests here until their slack ends.
	Yield Name = "yield"
	// ReturnLater tells clients to come back later the longer a model has been short of
	// capacity.
	ReturnLater Name = "return-later"
	// PricedReach bounds what may be unloaded to make a model reachable again.
	PricedReach Name = "priced-reach"
	// SecondHomes keeps the adapters of models that are asked for on two servers.
	SecondHomes Name = "second-homes"
)

// Names lists all mechanisms.
func Names() []Name {
	return []Name{Forecast, Hold, Yield, ReturnLater, PricedReach, SecondHomes}
}

// off is set by the linker: names with commas between them.
var off string

// Enabled reports whether a mechanism is in use.
func Enabled(name Name) bool { return enabled(off, name) }

func enabled(off string, name Name) bool {
	return off == "" || !slices.Contains(strings.Split(off, ","), string(name))
}
