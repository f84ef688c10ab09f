// Package connlimit bounds what the connections to a process's listeners cost: how many there are, how long each may take to send a
// request, how large its head may be, what all heads occupy together, and what the kernel buffers of each before it is read.
//
// Each listener of a process has a part of the descriptors that no other one can take; the rest is left for the connections that the
// process opens itself. When a listener is full, a connection that has no request in service gives way to a new one, so that clients
// get in beside others that only occupy connections. When the memory for heads is used up, the largest unfinished one gives way.
package connlimit

import "github.com/zeebo/errs"

// Errors of reads. Nothing of the request that was being read has been passed on.
var (
	// ErrGaveWay means that the connection was needed for another one.
	ErrGaveWay = errs.Class("connection gave way")
	// ErrTimeout means that the rest of a request took too long.
	ErrTimeout = errs.Class("request not received in time")
	// ErrHeadTooLarge means that a head exceeds the limit.
	ErrHeadTooLarge = errs.Class("head too large")
)
