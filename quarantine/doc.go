// Package quarantine finds requests that crash the servers that run them, and keeps them away
// from servers. A request is known by its content, since its client sends it again under other IDs
// and to other daemons. A Book holds which contents ran on servers while those crashed; daemons tell each
// other what their books lack, in any order and as often as they like. The package does no I/O and
// reads no clock.
package quarantine

import "github.com/zeebo/errs"

// ErrDigest is the class of texts that are no digest.
var ErrDigest = errs.Class("quarantine: digest")
