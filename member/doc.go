// Package member maintains the membership list of the daemons and detects failed ones.
//
// It implements SWIM: each daemon probes one other daemon per period, directly and then through a
// few helpers, and updates about members are piggybacked on the probe messages. The cost for each
// daemon does not grow with the number of daemons. A suspected member can refute the suspicion with
// a higher incarnation, so a daemon that was only paused rejoins under its own name.
//
// The same messages carry updates about back ends (up, leaving, down). Every daemon needs these
// within seconds, also while the object API is unavailable.
//
// Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", 2002.
//
// The package does no I/O and reads no clock: Detector.Tick and Detector.Receive take the time and
// return the messages to send.
package member
