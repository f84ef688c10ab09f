package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/placement"
)

// writeState is the state of this daemon's writes of placement records. At most one
// write of an object is in flight. After a write whose answer was lost, the object is
// read back before the next write.
type writeState struct {
	pending map[api.Key]*pendingWrite
	// tokens is how many writes may start now; it grows by rate a second.
	tokens     float64
	rate       float64
	refilledAt time.Time
	counter    uint64
	// backoffUntil is the time before which no write starts. refusals counts the refused
	// writes since the last accepted one.
	backoffUntil time.Time
	refusals     int
}

type pendingWrite struct {
	writeID string
	// release is the release operation that waits for a fresh read of the record that it
	// relies on; nil for a write.
	release *placement.Operation
	// readKey is the object that is read or is to be read.
	readKey      api.Key
	readDue      time.Time
	readInFlight bool
}

const (
	// writeBurst is the maximum number of writes that a daemon may start at once.
	writeBurst = 8
	// A daemon starts at initialWritesPerSecond, adds writesPerSecondStep for each write
	// that the platform accepts, and halves its rate for each that it refuses. A few
	// daemons with many writes thus get most of the platform's rate, and many daemons
	// get equal shares of it.
	initialWritesPerSecond = 2.0
	writesPerSecondStep    = 0.2
	maxWritesPerSecond     = 10.0
	// readBackoff is the wait before a failed read is retried.
	readBackoff = time.Second
	// refusalBackoff is the wait before any further write after the platform refused
	// one. It doubles with each further refusal up to maxRefusalBackoff.
	refusalBackoff    = time.Second
	maxRefusalBackoff = 8 * time.Second
)

func (n *Node) tickWrites(now time.Time) {
	n.refillWrites(now)
	for _, key := range n.pendingKeys() {
		pending := n.writes.pending[key]
		if pending.readKey.Name == "" || pending.readInFlight || now.Before(pending.readDue) {
			continue
		}
		pending.readInFlight = true
		n.emit(Read{Key: pending.readKey})
	}
}

// pendingKeys returns the keys of the pending writes in a fixed order.
func (n *Node) pendingKeys() []api.Key {
	keys := make([]api.Key, 0, len(n.writes.pending))
	for key := range n.writes.pending {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b api.Key) int { return strings.Compare(a.Name, b.Name) })
	return keys
}

// refillWrites adds write tokens at the present rate.
func (n *Node) refillWrites(now time.Time) {
	if n.writes.refilledAt.IsZero() {
		n.writes.rate = initialWritesPerSecond
	} else {
		n.writes.tokens += n.writes.rate * now.Sub(n.writes.refilledAt).Seconds()
	}
	n.writes.refilledAt = now
	n.writes.tokens = min(n.writes.tokens, writeBurst)
}

// backOffWrites reacts to a write that the platform refused. The rate does not fall
// below half of an equal share of the budget.
func (n *Node) backOffWrites(now time.Time) {
	share := n.settings.WritesPerSecond / float64(max(len(n.detector.Live()), 1))
	n.writes.rate = max(n.writes.rate/2, share/2)
	backoff := min(refusalBackoff<<min(n.writes.refusals, maxRefusalDoublings), maxRefusalBackoff)
	n.writes.refusals++
	n.writes.backoffUntil = now.Add(n.jitter(backoff))
}

// maxRefusalDoublings keeps the doubled backoff within the range of a duration.
const maxRefusalDoublings = 10

// write starts a conditional update of a placement record. It returns false if no write
// may start now or one of the same record is pending.
func (n *Node) write(now time.Time, record api.Placement, version uint64, deleted bool) bool {
	key := api.Key{Kind: api.KindPlacement, Name: record.BackEnd}
	if n.writes.tokens < 1 || now.Before(n.writes.backoffUntil) || n.writes.pending[key] != nil {
		return false
	}
	n.writes.tokens--
	n.startWrite(key, record, version, deleted)
	return true
}

func (n *Node) startWrite(key api.Key, record api.Placement, version uint64, deleted bool) {
	n.writes.counter++
	self := n.detector.Self()
	object := api.Object{
		Key:     key,
		Deleted: deleted,
		WriteID: fmt.Sprintf("%s/%d/%d", self.Name, self.Incarnation, n.writes.counter),
		Writer:  self.Name,
	}
	if !deleted {
		object.Value = api.Encode(record)
	}
	n.writes.pending[key] = &pendingWrite{writeID: object.WriteID}
	n.emit(Write{Object: object, IfVersion: version})
}

// WriteAnswered handles the answer to Write.
func (n *Node) WriteAnswered(now time.Time, answer WriteAnswer) []Action {
	pending := n.writes.pending[answer.Key]
	switch answer.Err {
	case CallOK, CallConflict:
		delete(n.writes.pending, answer.Key)
		n.mergeObject(answer.Object)
		n.writes.rate = min(n.writes.rate+writesPerSecondStep, maxWritesPerSecond)
		n.writes.refusals = 0
		if answer.Err == CallConflict {
			n.logDecision("placement", "Write rejected; another write of the object came first.", "object", answer.Key.String(), "winner", answer.Object.Writer, "version", answer.Object.Version)
		}
	case CallNotDone:
		delete(n.writes.pending, answer.Key)
		n.backOffWrites(now)
	case CallUnknown:
		if pending != nil {
			pending.readKey = answer.Key
			pending.readDue = now
		}
	}
	return n.takeActions()
}

func (n *Node) mergeObject(object api.Object) {
	if object.Version != 0 && n.store.Merge(object) {
		n.updateCatalog([]api.Key{object.Key})
	}
}

// ReadAnswered handles the answer to Read.
func (n *Node) ReadAnswered(now time.Time, answer ReadAnswer) []Action {
	for _, key := range n.pendingKeys() {
		pending := n.writes.pending[key]
		if !pending.readInFlight || pending.readKey != answer.Key {
			continue
		}
		pending.readInFlight = false
		if answer.Err != CallOK {
			pending.readDue = now.Add(n.jitter(readBackoff))
			if pending.release != nil {
				delete(n.writes.pending, key)
			}
			continue
		}
		delete(n.writes.pending, key)
		n.mergeObject(answer.Object)
		if pending.release != nil {
			n.finishRelease(now, *pending.release, answer.Object)
		}
	}
	return n.takeActions()
}

// startRelease starts a fresh read of the record that a release relies on.
func (n *Node) startRelease(now time.Time, operation placement.Operation) {
	key := api.Key{Kind: api.KindPlacement, Name: operation.BackEnd}
	if n.writes.pending[key] != nil {
		return
	}
	n.writes.pending[key] = &pendingWrite{
		release: &operation,
		readKey: api.Key{Kind: api.KindPlacement, Name: operation.ReliesOn},
		readDue: now,
	}
}

// finishRelease writes a release if the record just read still allows it.
func (n *Node) finishRelease(now time.Time, operation placement.Operation, reliedOn api.Object) {
	if reliedOn.Deleted || reliedOn.Version == 0 {
		return
	}
	record, err := api.Decode[api.Placement](reliedOn)
	if err != nil || !placement.CanRelyOn(record, operation.ReliesOnArtifact) {
		n.logDecision("placement", "Release cancelled; the replica that it relies on may not be relied on.", "back_end", operation.BackEnd, "relies_on", operation.ReliesOn)
		return
	}
	n.applyOperations(now, operation.BackEnd, []placement.Operation{operation})
}

// applyOperations writes the operations of one planning round on one record.
func (n *Node) applyOperations(now time.Time, backEnd string, operations []placement.Operation) {
	known := n.catalog.placements[backEnd]
	machine, found := n.catalog.machines[backEnd]
	if !found {
		return
	}
	record := known.placement
	record.BackEnd = backEnd
	var applied []placement.Operation
	for _, operation := range operations {
		if operation.IfVersion != known.version {
			continue
		}
		next, ok := placement.Apply(record, machine.MemoryBytes, operation, now)
		if ok {
			record = next
			applied = append(applied, operation)
		}
	}
	if len(applied) == 0 || !n.write(now, record, known.version, false) {
		return
	}
	for _, operation := range applied {
		n.logDecision("placement", "Placement changes.", "action", operation.Kind, "artifact", operation.Artifact.String(),
			"back_end", backEnd, "on_version", known.version, "reason", operation.Reason)
	}
}
