// Package control is the control plane of one daemon as a state machine. It holds
// this daemon's replica of the platform's objects and the state of the other
// daemons and of the back ends, and derives the daemon's actions from them. The
// platform is the versioned object store outside the daemons.
//
// Node has one method for each event and returns typed actions. It does no
// I/O, reads no clock and starts no goroutine, so that the daemon and the lab's
// simulator drive the same code.
//
// The daemon that acts is computed and never stored: the daemon with the highest
// rendezvous weight acts for a back end (polls it, sends it orders) and for a
// model (plans its replicas). Two daemons with different views of the members may
// both act; the conditional update of placement records makes that safe.
package control
