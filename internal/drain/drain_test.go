package drain_test

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"

	"github.com/wheatweir/wheatweir/internal/drain"
)

func TestLifetimeEndsInTwoSteps(t *testing.T) {
	lifetime := drain.NewLifetime()
	ctx, release := lifetime.Bind(context.Background())
	defer release()
	if lifetime.Drained() || lifetime.Ended() || ctx.Err() != nil {
		t.Fatal("it has ended from the start")
	}
	lifetime.Drain()
	if !lifetime.Drained() || lifetime.Ended() || ctx.Err() != nil {
		t.Errorf("drained %t, ended %t, context %v after the drain", lifetime.Drained(), lifetime.Ended(), ctx.Err())
	}
	lifetime.End()
	<-ctx.Done()
	if !lifetime.Ended() || !drain.Stopped(ctx) || errors.Is(context.Cause(ctx), context.Canceled) {
		t.Errorf("ended %t, cause %v", lifetime.Ended(), context.Cause(ctx))
	}
}

func TestAClientThatLeavesIsNoStop(t *testing.T) {
	left, leave := context.WithCancel(context.Background())
	ctx, release := drain.NewLifetime().Bind(left)
	defer release()
	leave()
	if <-ctx.Done(); drain.Stopped(ctx) {
		t.Error("the daemon counts as stopped")
	}
}

func TestConnections(t *testing.T) {
	var connections drain.Connections
	reader, writer := net.Pipe()
	defer writer.Close()
	connections.Note(reader, true)
	connections.Note(reader, true)
	if connections.Count() != 1 {
		t.Errorf("%d busy", connections.Count())
	}
	connections.EndReads()
	if _, err := reader.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read: %v", err)
	}
	connections.Note(reader, false)
	connections.Note(reader, false)
	if connections.Count() != 0 {
		t.Errorf("%d busy after the end", connections.Count())
	}
}
