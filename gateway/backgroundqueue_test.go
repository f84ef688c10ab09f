package gateway

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var queueTestStart = time.Unix(1000, 0)

// at returns the time the given number of milliseconds after the start of a test.
func at(millis int) time.Time { return queueTestStart.Add(time.Duration(millis) * time.Millisecond) }

func woken(queued *queuedRequest) bool {
	select {
	case <-queued.wake:
		return true
	default:
		return false
	}
}

// TestEarliestSlackIsFirst guards against requests that are sent in the order of their arrival, or in map order.
func TestEarliestSlackIsFirst(t *testing.T) {
	queues, key := newYieldQueues(), queueKey{"svc", "m"}
	late, early, same := newQueuedRequest(key, at(300)), newQueuedRequest(key, at(100)), newQueuedRequest(key, at(100))
	if !queues.enqueue(late, "i") || !queues.enqueue(early, "i") || queues.enqueue(same, "i") {
		t.Error("another request is reported as the first one")
	}
	if !queues.precedes(late, key, "i", at(300)) || !woken(early) {
		t.Error("the request with the later end may be sent first, or the earlier one is not woken")
	}
	if queues.precedes(early, key, "i", at(100)) {
		t.Error("another request precedes the first one")
	}
	if !queues.precedes(nil, key, "i", at(200)) || queues.precedes(nil, key, "i", at(50)) {
		t.Error("a new request is not ordered by the end of its slack")
	}
	woken(early)
	queues.dequeue(early)
	if !woken(same) || woken(late) {
		t.Error("the next request is not the one with the same end that arrived later")
	}
	queues.dequeue(same)
	if !woken(late) {
		t.Error("the last request is not woken")
	}
	queues.dequeue(late)
	if len(queues.queues) > 0 {
		t.Errorf("%d queues are left", len(queues.queues))
	}
}

// TestLooksDoNotWakeOthers guards against requests with the same end of slack that pass the first position on at each
// check. They would check without a pause for as long as they wait.
func TestLooksDoNotWakeOthers(t *testing.T) {
	queues, key := newYieldQueues(), queueKey{"svc", "m"}
	first, second := newQueuedRequest(key, at(100)), newQueuedRequest(key, at(100))
	queues.enqueue(first, "i")
	queues.enqueue(second, "i")
	if !queues.enqueue(first, "i") || queues.enqueue(second, "i") || woken(first) || woken(second) {
		t.Error("a repeated check has changed the order")
	}
}

// TestLinesOfOtherModelsAndInstancesGoOn guards against a request that waits for a server that it does not need.
func TestLinesOfOtherModelsAndInstancesGoOn(t *testing.T) {
	queues, key, other := newYieldQueues(), queueKey{"svc", "m"}, queueKey{"svc", "n"}
	queues.enqueue(newQueuedRequest(key, at(100)), "i1")
	if queues.precedes(nil, other, "i1", at(200)) || queues.precedes(nil, key, "i2", at(200)) {
		t.Error("a request waits behind one for another model or instance")
	}
	if !queues.enqueue(newQueuedRequest(other, at(200)), "i1") || !queues.enqueue(newQueuedRequest(key, at(200)), "i2") {
		t.Error("a request is not the first one of its own queue")
	}
}

// TestFirstThatTurnsToAnotherInstanceWakesTheNext guards against a queue whose first request has found a better
// instance, while the others sleep until their own slack ends.
func TestFirstThatTurnsToAnotherInstanceWakesTheNext(t *testing.T) {
	queues, key := newYieldQueues(), queueKey{"svc", "m"}
	first, second := newQueuedRequest(key, at(100)), newQueuedRequest(key, at(200))
	queues.enqueue(first, "i1")
	queues.enqueue(second, "i1")
	queues.enqueue(first, "i2")
	if !woken(second) || woken(first) {
		t.Error("the second request is not woken when the first one changes its instance")
	}
}

// TestNothingIsLostInLine guards against requests that are never removed from their queue, or lost from it, in any
// order of arrivals, checks and ends. A request that becomes the first one for its instance is always woken.
func TestNothingIsLostInLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queues := newYieldQueues()
		var present []*queuedRequest
		firsts := map[string]*queuedRequest{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			for _, queued := range present {
				woken(queued)
			}
			var acting *queuedRequest
			if len(present) > 0 && rapid.Bool().Draw(t, "known") {
				acting = rapid.SampledFrom(present).Draw(t, "which")
			}
			if acting != nil && rapid.Bool().Draw(t, "leaves") {
				queues.dequeue(acting)
				queues.dequeue(acting)
				present = slices.DeleteFunc(present, func(queued *queuedRequest) bool { return queued == acting })
			} else {
				if acting == nil {
					model := rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model")
					acting = newQueuedRequest(queueKey{"svc", model}, at(rapid.IntRange(0, 5).Draw(t, "end")))
					present = append(present, acting)
				}
				queues.enqueue(acting, rapid.SampledFrom([]string{"i1", "i2"}).Draw(t, "instance"))
			}
			firsts = requireFirstsWoken(t, queues, present, firsts, acting)
		}
		for _, queued := range present {
			queues.dequeue(queued)
		}
		if len(queues.queues) > 0 {
			t.Fatalf("%d queues are left", len(queues.queues))
		}
	})
}

// requireFirstsWoken compares the queues with the requests that are present. It also checks that requests which have
// become the first ones were woken, except for the one that has just checked itself.
func requireFirstsWoken(t *rapid.T, queues *yieldQueues, present []*queuedRequest, before map[string]*queuedRequest, acting *queuedRequest) map[string]*queuedRequest {
	count, now := 0, map[string]*queuedRequest{}
	for key, queue := range queues.queues {
		count += len(queue)
		for position, queued := range queue {
			if position > 0 && queue[position-1].slackEnd.After(queued.slackEnd) {
				t.Fatal("a later end of slack precedes an earlier one")
			}
			if name := key.model + "/" + queued.instance; now[name] == nil {
				now[name] = queued
			}
		}
	}
	if count != len(present) {
		t.Fatalf("%d requests queued, want %d", count, len(present))
	}
	for name, first := range now {
		if first != before[name] && first != acting && !woken(first) {
			t.Fatalf("the new first request for %s is not woken", name)
		}
	}
	return now
}
