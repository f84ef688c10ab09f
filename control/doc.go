// Package control is the control plane of one daemon as a state machine: what
// it knows of other daemons, objects and back ends, and what it does about it.
//
// Node has one method for each event and returns typed actions. It does no
// I/O, reads no clock and starts no goroutine, so that the daemon and the lab's
// simulator drive the same code.
//
// Who acts is computed and never stored: the daemon with the highest
// rendezvous weight acts for a back end (polls it, sends it orders) and for a
// model (plans its replicas). Two daemons that disagree about the members may
// both act; the conditional update of placement records makes that safe.
package control
