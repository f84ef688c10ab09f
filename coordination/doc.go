// Package coordination is the shared state of the daemons of a deployment: which daemons are alive,
// which one holds the lease on orders to instances, and what the instances hold and should hold. A
// Node is a state machine without I/O: events and the time go in, actions come out. A driver
// carries out the actions.
package coordination
