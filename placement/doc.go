// Package placement decides which back end holds which model, adapter and
// version, and which orders make an engine follow its placement record.
//
// Plan works on a typed snapshot and returns operations on placement records.
// Reconcile compares one record with what the engine reports and returns the
// orders to send. Neither does I/O nor keeps state between calls: a lost race
// or a lost order is simply found again in the next round.
//
// Three rules make it safe that several daemons may act at once, or act late:
//
//   - Memory is reserved in the record before any order is sent, and each
//     change of a record is an update conditional on its version.
//   - A reservation ends only when the engine is observed without the artifact
//     at a fence at or past the record's version, after which the engine
//     rejects every older order. An engine that checks no fence could still be
//     reached by a late order, so its reservations end only with the machine.
//   - A replica that keeps a model reachable is first marked as moving, and
//     then released only if a fresh read of another record shows a replica
//     that is held and not moving.
package placement
