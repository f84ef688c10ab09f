// Package coordination is what the entry daemons of a deployment decide
// together: who of them lives, who holds the lease on orders, what the model
// servers hold and should hold. A Node is a state machine without I/O: events and
// the time go in, actions come out. A driver carries the actions out.
package coordination
