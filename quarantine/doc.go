// Package quarantine identifies requests that crash the servers that run them, and holds them: they are not sent to
// further servers. A request is identified by its content, since its client resends it under other IDs and to other
// daemons. It is also identified by the shared parts of its prompt, since requests that have nothing else in common may
// crash servers in the same way. A Tracker tracks which contents and parts were running on servers that crashed.
// Daemons exchange updates of their trackers, which can be merged in any order and any number of times. The package
// does no I/O and reads no clock.
package quarantine

import "github.com/zeebo/errs"

// ErrDigest is the class of errors for texts that are not a digest.
var ErrDigest = errs.Class("quarantine: digest")
