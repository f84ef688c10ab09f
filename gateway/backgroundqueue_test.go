package gateway

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var lineStart = time.Unix(1000, 0)

// at is a moment some milliseconds after the start of a test.
func at(millis int) time.Time { return lineStart.Add(time.Duration(millis) * time.Millisecond) }

func woken(place *queuedRequest) bool {
	select {
	case <-place.wake:
		return true
	default:
		return false
	}
}

// TestEarliestSlackIsFirst guards against requests that are sent in the order of their arrival, or of the map.
func TestEarliestSlackIsFirst(t *testing.T) {
	lines, key := newHoldLines(), queueKey{"svc", "m"}
	late, early, same := newQueuedRequest(key, at(300)), newQueuedRequest(key, at(100)), newQueuedRequest(key, at(100))
	if !lines.enqueue(late, "i") || !lines.enqueue(early, "i") || lines.enqueue(same, "i") {
		t.Error("the first place is another one's")
	}
	if !lines.precedes(late, key, "i", at(300)) || !woken(early) {
		t.Error("the later one may go first, or the earlier one sleeps on")
	}
	if lines.precedes(early, key, "i", at(100)) {
		t.Error("the first one has another one before it")
	}
	if !lines.precedes(nil, key, "i", at(200)) || lines.precedes(nil, key, "i", at(50)) {
		t.Error("a newcomer is not put where its slack ends")
	}
	woken(early)
	lines.dequeue(early)
	if !woken(same) || woken(late) {
		t.Error("the next one is not the one with the same end that came after")
	}
	lines.dequeue(same)
	if !woken(late) {
		t.Error("the last one sleeps on")
	}
	lines.dequeue(late)
	if len(lines.queues) > 0 {
		t.Errorf("%d lines are left", len(lines.queues))
	}
}

// TestLooksDoNotWakeOthers guards against requests with the same end that pass the first place on at each look: they
// would look without a pause for as long as they wait.
func TestLooksDoNotWakeOthers(t *testing.T) {
	lines, key := newHoldLines(), queueKey{"svc", "m"}
	first, second := newQueuedRequest(key, at(100)), newQueuedRequest(key, at(100))
	lines.enqueue(first, "i")
	lines.enqueue(second, "i")
	if !lines.enqueue(first, "i") || lines.enqueue(second, "i") || woken(first) || woken(second) {
		t.Error("a further look has changed the order")
	}
}

// TestLinesOfOtherModelsAndInstancesGoOn guards against a request that waits for a server that it does not need.
func TestLinesOfOtherModelsAndInstancesGoOn(t *testing.T) {
	lines, key, other := newHoldLines(), queueKey{"svc", "m"}, queueKey{"svc", "n"}
	lines.enqueue(newQueuedRequest(key, at(100)), "i1")
	if lines.precedes(nil, other, "i1", at(200)) || lines.precedes(nil, key, "i2", at(200)) {
		t.Error("it waits behind a request for another model or instance")
	}
	if !lines.enqueue(newQueuedRequest(other, at(200)), "i1") || !lines.enqueue(newQueuedRequest(key, at(200)), "i2") {
		t.Error("it is not the first one of its own line")
	}
}

// TestFirstThatTurnsToAnotherInstanceWakesTheNext guards against a line whose first request has found a better
// instance, while the others sleep until their own slack ends.
func TestFirstThatTurnsToAnotherInstanceWakesTheNext(t *testing.T) {
	lines, key := newHoldLines(), queueKey{"svc", "m"}
	first, second := newQueuedRequest(key, at(100)), newQueuedRequest(key, at(200))
	lines.enqueue(first, "i1")
	lines.enqueue(second, "i1")
	lines.enqueue(first, "i2")
	if !woken(second) || woken(first) {
		t.Error("the second one is not woken when the first one turns away")
	}
}

// TestNothingIsLostInLine guards against requests that stay in line for ever or fall out of it, whatever the order
// of arrivals, looks and ends: a request that becomes the first one for its instance is always woken.
func TestNothingIsLostInLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := newHoldLines()
		var present []*queuedRequest
		firsts := map[string]*queuedRequest{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			for _, place := range present {
				woken(place)
			}
			var acting *queuedRequest
			if len(present) > 0 && rapid.Bool().Draw(t, "known") {
				acting = rapid.SampledFrom(present).Draw(t, "which")
			}
			if acting != nil && rapid.Bool().Draw(t, "leaves") {
				lines.dequeue(acting)
				lines.dequeue(acting)
				present = slices.DeleteFunc(present, func(place *queuedRequest) bool { return place == acting })
			} else {
				if acting == nil {
					model := rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model")
					acting = newQueuedRequest(queueKey{"svc", model}, at(rapid.IntRange(0, 5).Draw(t, "end")))
					present = append(present, acting)
				}
				lines.enqueue(acting, rapid.SampledFrom([]string{"i1", "i2"}).Draw(t, "instance"))
			}
			firsts = requireFirstsAwake(t, lines, present, firsts, acting)
		}
		for _, place := range present {
			lines.dequeue(place)
		}
		if len(lines.queues) > 0 {
			t.Fatalf("%d lines are left", len(lines.queues))
		}
	})
}

// requireFirstsAwake holds the lines against the requests that are present, and looks whether those that have become
// the first ones were woken, but for the one that has just looked.
func requireFirstsAwake(t *rapid.T, lines *holdLines, present []*queuedRequest, before map[string]*queuedRequest, acting *queuedRequest) map[string]*queuedRequest {
	count, now := 0, map[string]*queuedRequest{}
	for key, line := range lines.queues {
		count += len(line)
		for place, held := range line {
			if place > 0 && line[place-1].slackEnd.After(held.slackEnd) {
				t.Fatal("a later end stands before an earlier one")
			}
			if name := key.model + "/" + held.instance; now[name] == nil {
				now[name] = held
			}
		}
	}
	if count != len(present) {
		t.Fatalf("%d in line, want %d", count, len(present))
	}
	for name, first := range now {
		if first != before[name] && first != acting && !woken(first) {
			t.Fatalf("the new first one for %s sleeps on", name)
		}
	}
	return now
}
