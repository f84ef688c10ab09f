package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// queueKey identifies the requests that wait in one queue.
type queueKey struct{ service, model string }

// queuedRequest is the entry of a background request in the queue of its model.
type queuedRequest struct {
	key queueKey
	// slackEnd is when the slack of the request would end without a forecast. The forecast depends on the state of the
	// server at the time of a check. If requests were ordered by it, those that checked at different times would change
	// positions constantly.
	slackEnd time.Time
	// wake signals that the request has become the first one for its instance.
	wake chan struct{}
	// instance is the best instance at the last check. enqueued is set while the entry is in the queue. Both are
	// guarded by the mutex of yieldQueues.
	instance string
	enqueued bool
}

func newQueuedRequest(key queueKey, slackEnd time.Time) *queuedRequest {
	return &queuedRequest{key: key, slackEnd: slackEnd, wake: make(chan struct{}, 1)}
}

func (q *queuedRequest) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// yieldQueues are the queues of the background requests that wait at this daemon, ordered by the end of their slack.
// The first request for each instance polls for room; the others are woken when they become first. It is safe for
// concurrent use.
type yieldQueues struct {
	mutex  sync.Mutex
	queues map[queueKey][]*queuedRequest
}

func newYieldQueues() *yieldQueues { return &yieldQueues{queues: map[queueKey][]*queuedRequest{}} }

// enqueue adds a request, or updates its best instance if it is queued already. It reports whether the request is the
// first one for its instance.
func (l *yieldQueues) enqueue(queued *queuedRequest, instance string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	previous, wasEnqueued := queued.instance, queued.enqueued
	queued.instance = instance
	if !wasEnqueued {
		l.insert(queued)
	} else if previous != instance {
		l.wakeFirst(queued.key, previous)
	}
	return l.first(queued.key, instance) == queued
}

func (l *yieldQueues) insert(queued *queuedRequest) {
	queue := l.queues[queued.key]
	at, _ := slices.BinarySearchFunc(queue, queued, compareSlackEnds)
	l.queues[queued.key] = slices.Insert(queue, at, queued)
	queued.enqueued = true
}

// compareSlackEnds orders by the end of the slack. Requests with the same end stay in the order of their arrival, since
// a new one never compares as equal.
func compareSlackEnds(existing, added *queuedRequest) int {
	return cmp.Or(existing.slackEnd.Compare(added.slackEnd), -1)
}

// dequeue removes a request and wakes the next one for its instance. It does nothing if the request is not queued.
func (l *yieldQueues) dequeue(queued *queuedRequest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.remove(queued) {
		l.wakeFirst(queued.key, queued.instance)
	}
}

// precedes reports whether another request for the same model and instance has to be sent before a request whose slack
// ends at slackEnd, and wakes that other request. Queued is nil for a request that is not in a queue.
func (l *yieldQueues) precedes(queued *queuedRequest, key queueKey, instance string, slackEnd time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first := l.first(key, instance)
	if first == nil || first == queued || first.slackEnd.After(slackEnd) {
		return false
	}
	first.signal()
	return true
}

// remove removes a request from its queue, and reports whether it was queued.
func (l *yieldQueues) remove(queued *queuedRequest) bool {
	if !queued.enqueued {
		return false
	}
	queued.enqueued = false
	queue := l.queues[queued.key]
	at := slices.Index(queue, queued)
	queue = slices.Delete(queue, at, at+1)
	if len(queue) == 0 {
		delete(l.queues, queued.key)
	} else {
		l.queues[queued.key] = queue
	}
	return true
}

// wakeFirst wakes the first request for an instance.
func (l *yieldQueues) wakeFirst(key queueKey, instance string) {
	if first := l.first(key, instance); first != nil {
		first.signal()
	}
}

// first returns the first request for an instance, or nil.
func (l *yieldQueues) first(key queueKey, instance string) *queuedRequest {
	for _, queued := range l.queues[key] {
		if queued.instance == instance {
			return queued
		}
	}
	return nil
}
