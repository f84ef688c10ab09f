// Package objectstore is the peer package for the platform's object API: objects
// with versions, conditional updates and watches, over HTTP and JSON.
//
// Wire form (see the stand-in for the other side):
//
//	GET /v1/objects/KIND/NAME                       one object, 404 if never written
//	PUT /v1/objects/KIND/NAME?if_version=N          conditional update; 409 gives the object in the way
//	GET /v1/changes?since=N&wait_ms=M&kinds=A,B     changes after a version, waiting for the first
//
// A deletion is an update with "deleted" set: the tombstone has a version too.
// 429 and 503 say that the call was not done.
package objectstore

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/replica"
)

// Classes of errors. Any other error of a Client is an ErrUnknownOutcome.
var (
	// ErrNotDone means that the call certainly had no effect: the platform
	// said so, or nothing was sent.
	ErrNotDone = errs.Class("object store: not done")
	// ErrConflict means that a conditional update found another version.
	ErrConflict = errs.Class("object store: conflict")
	// ErrUnknownOutcome means that a write may have taken effect.
	ErrUnknownOutcome = errs.Class("object store: unknown outcome")
)

// Client is the platform as daemons use it.
type Client interface {
	// Get returns an object; one that was never written has version zero.
	Get(ctx context.Context, key api.Key) (api.Object, error)
	// Put updates an object if its version is ifVersion, and returns it with
	// its new version. With ErrConflict it returns the object in the way.
	Put(ctx context.Context, object api.Object, ifVersion uint64) (api.Object, error)
	// Changes returns the changes after a version, and waits up to wait for
	// the first one.
	Changes(ctx context.Context, since uint64, wait time.Duration) (replica.Delta, error)
}

// ReplicatedKinds are the kinds that every daemon keeps a copy of.
var ReplicatedKinds = []api.Kind{api.KindModel, api.KindService, api.KindPlacement, api.KindMachine, api.KindTenant}
