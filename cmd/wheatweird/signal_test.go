package main

import (
	"context"
	"os"
	"syscall"
	"testing"
)

// TestRepeatedTermEndsNothing covers a platform that sends SIGTERM more than once
// while the daemon finishes its requests, and a person who presses the keys twice.
func TestRepeatedTermEndsNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		cancelOnInterrupt(ctx, signals, cancel)
	}()
	for range 3 {
		signals <- syscall.SIGTERM
	}
	if ctx.Err() != nil {
		t.Fatal("a further SIGTERM ends the daemon at once")
	}
	signals <- syscall.SIGINT
	<-ended
	if ctx.Err() == nil {
		t.Fatal("a further SIGINT does not end the daemon")
	}
}
