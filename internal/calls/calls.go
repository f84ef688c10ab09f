// Package calls pairs questions to other daemons with their answers.
package calls

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Calls are the questions under way and the daemons that are not to be asked. It is safe for
// concurrent use.
type Calls[T any] struct {
	mutex sync.Mutex
	// last is the number of the last question. It starts at a random number, so that an answer to an earlier process of this
	// daemon matches none.
	last    uint64
	waiting map[uint64]chan T
	// restUntil is until when a daemon that did not answer is not asked.
	restUntil map[string]time.Time
}

// New returns a Calls without questions.
func New[T any]() *Calls[T] {
	return &Calls[T]{last: uint64(rand.Uint32()), waiting: map[uint64]chan T{}, restUntil: map[string]time.Time{}}
}

// Ask sends a question with a number of its own and returns the answer, or false if there is
// none in time or ctx ends.
func (c *Calls[T]) Ask(ctx context.Context, limit time.Duration, send func(id uint64)) (answer T, answered bool) {
	id, answers := c.expect()
	defer c.forget(id)
	send(id)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case answer = <-answers:
		return answer, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return answer, false
}

func (c *Calls[T]) expect() (uint64, chan T) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.last++
	answers := make(chan T, 1)
	c.waiting[c.last] = answers
	return c.last, answers
}

func (c *Calls[T]) forget(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiting, id)
}

// Answered takes in an answer. One that nobody waits for is dropped.
func (c *Calls[T]) Answered(id uint64, answer T) {
	c.mutex.Lock()
	answers := c.waiting[id]
	c.mutex.Unlock()
	if answers == nil {
		return
	}
	select {
	case answers <- answer:
	default:
	}
}

// Rest keeps questions from a daemon that did not answer for a while.
func (c *Calls[T]) Rest(name string, span time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for other, until := range c.restUntil {
		if !now.Before(until) {
			delete(c.restUntil, other)
		}
	}
	c.restUntil[name] = now.Add(span)
}

// Rests reports whether a daemon is not to be asked now.
func (c *Calls[T]) Rests(name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Now().Before(c.restUntil[name])
}
