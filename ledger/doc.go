// Package ledger lets a request that must not be repeated run at most once.
//
// Before such a request is sent to a back end, its key is claimed in an object
// of the platform's object API. The keys are spread over a fixed number of
// shard objects. A claim is a conditional update of the shard, so two daemons
// that get the same key at once collide there and one learns of the other. All
// claims that wait for the same shard go into one update.
//
// A claim whose update had its answer lost is settled by reading the shard
// back and looking for the claim's own identity. While the object API is away
// no claim can be made, and such requests are refused as "not run".
//
// Shard does no I/O and reads no clock.
package ledger
