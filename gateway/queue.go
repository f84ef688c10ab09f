package gateway

import (
	"slices"
	"sync"
	"time"
)

// need is what requests for the same instances have in common.
type need struct{ service, model, adapter string }

// place is one request's place in the queue for a connection.
type place struct {
	need     need
	priority int
	arrived  time.Time
	// turn receives when the place becomes the first one.
	turn chan struct{}
}

// before reports whether a place is to be served before another one.
func (p *place) before(other *place) bool {
	if p.priority != other.priority {
		return p.priority < other.priority
	}
	return p.arrived.Before(other.arrived)
}

// connectionQueues are the requests that wait for a connection to an instance, by what they
// need: more urgent ones first, then those that have waited longer. Without them a request that
// waits would lose each connection to one that has just arrived. Safe for concurrent use.
type connectionQueues struct {
	mutex  sync.Mutex
	queues map[need][]*place
}

func newConnectionQueues() *connectionQueues {
	return &connectionQueues{queues: map[need][]*place{}}
}

// join adds a request.
func (q *connectionQueues) join(wanted need, priority int, arrived time.Time) *place {
	joined := &place{need: wanted, priority: priority, arrived: arrived, turn: make(chan struct{}, 1)}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	queue := q.queues[wanted]
	at, _ := slices.BinarySearchFunc(queue, joined, func(known, joined *place) int {
		if joined.before(known) {
			return 1
		}
		return -1
	})
	q.queues[wanted] = slices.Insert(queue, at, joined)
	return joined
}

// occupied reports whether a request waits for the same.
func (q *connectionQueues) occupied(wanted need) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.queues[wanted]) > 0
}

// first reports whether it is the turn of a place.
func (q *connectionQueues) first(waiting *place) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	queue := q.queues[waiting.need]
	return len(queue) > 0 && queue[0] == waiting
}

// leave removes a place. If it was the first one, the next one has its turn.
func (q *connectionQueues) leave(leaving *place) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	queue := q.queues[leaving.need]
	at := slices.Index(queue, leaving)
	if at < 0 {
		return
	}
	queue = slices.Delete(queue, at, at+1)
	if len(queue) == 0 {
		delete(q.queues, leaving.need)
		return
	}
	q.queues[leaving.need] = queue
	if at == 0 {
		select {
		case queue[0].turn <- struct{}{}:
		default:
		}
	}
}
