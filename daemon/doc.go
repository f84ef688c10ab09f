// Package daemon wires the parts of one daemon: duties, each a goroutine, that
// are joined by bounded rings.
//
// The control duty owns the control.Node and is the only one that touches it.
// It takes events from one ring and hands actions to the duties that make
// calls: peers, platform, polls and orders. The request path reads an
// immutable routing table that the control duty publishes, so a request waits
// for no duty of the control plane.
package daemon
