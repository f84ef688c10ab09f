package main

import (
	"context"
	"errors"
	"testing"
)

// failing is a daemon of which one duty has failed.
type failing struct {
	failed  chan error
	stopped bool
}

func (f *failing) Failed() <-chan error { return f.failed }
func (f *failing) Stop(context.Context) { f.stopped = true }

// TestFailedDutyStopsTheDaemon has the requests in progress finished before the process ends
// with the error of the duty.
func TestFailedDutyStopsTheDaemon(t *testing.T) {
	want := errors.New("a duty failed")
	running := &failing{failed: make(chan error, 1)}
	running.failed <- want
	err := run("", false, func(string, bool) (runner, error) { return running, nil })
	if !errors.Is(err, want) || !running.stopped {
		t.Errorf("error %v, stopped %t", err, running.stopped)
	}
}
