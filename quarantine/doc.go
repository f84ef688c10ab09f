// Package quarantine finds requests that crash the servers that run them, and keeps them away
// from servers. A request is known by its content, since its client sends it again under other IDs
// and to other daemons, and by the parts of its prompt that others share, since requests that have
// nothing else in common may crash servers alike. A Book holds which contents and parts ran on servers
// while those crashed; daemons tell each other what their books lack, in any order and as often as they
// like. The package does no I/O and reads no clock.
package quarantine

import "github.com/zeebo/errs"

// ErrDigest is the class of texts that are no digest.
var ErrDigest = errs.Class("quarantine: digest")
