// Package member tells which daemons are alive.
//
// It follows SWIM: each daemon probes one other daemon per period, directly
// and then through a few helpers, and news about members rides on the probe
// messages. The cost for each daemon does not grow with the number of daemons.
// A member that is suspected can refute with a higher incarnation, so a daemon
// that was only paused comes back under its own name.
//
// The same messages carry news about back ends (up, leaving, down), which
// every daemon needs within seconds, also while the object API is away.
//
// Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", 2002.
//
// The package does no I/O and reads no clock: Detector.Tick and
// Detector.Receive take the time and return the messages to send.
package member
