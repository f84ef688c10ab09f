package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// endlessServer returns a handler that sends bytes without end in a part of each answer, and a function that returns what
// became of the answers.
func endlessServer(part standin.Endless) (http.HandlerFunc, func() []standin.EndlessAnswer) {
	var mutex sync.Mutex
	var ended []standin.EndlessAnswer
	answer := func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		id := request.Header.Get("X-Request-Id")
		sent := standin.SendEndless(conn, part, "X-Request-Id: "+id+"\r\nX-Server-Signature: s\r\n", "id: 1\ndata: sound\n\n")
		mutex.Lock()
		defer mutex.Unlock()
		ended = append(ended, sent)
	}
	return answer, func() []standin.EndlessAnswer {
		mutex.Lock()
		defer mutex.Unlock()
		return append([]standin.EndlessAnswer(nil), ended...)
	}
}

// TestHeadsWithoutEndTakeNoMemory guards against a daemon that gathers the head of an answer until its machine's memory is
// used up, and ends with all streams of its other clients.
func TestHeadsWithoutEndTakeNoMemory(t *testing.T) {
	binary := buildBinary(t)
	for _, part := range []standin.Endless{standin.EndlessLine, standin.EndlessReason, standin.EndlessField, standin.EndlessFields, standin.EndlessInterim} {
		t.Run(string(part), func(t *testing.T) {
			d := startEntryDaemon(t, binary)
			handler, ended := endlessServer(part)
			d.serve(t, "faulty-1", handler)
			d.checkCalm(t, func(ctx context.Context) {
				d.askAll(ctx, troubleClients, "unsafe", func(answer standin.ClientAnswer, err error) {
					if err != nil || answer.Status == http.StatusOK || answer.PromisesNotRun() && answer.RetryAfter == 0 {
						t.Errorf("answer %+v, %v", answer, err)
					}
				})
			})
			checkClosed(t, ended())
			if part == standin.EndlessLine {
				// Its first byte can be part of no head.
				d.checkMalformedTold(t, "t-unsafe-0-0", "status_line")
				return
			}
			d.checkTold(t, "t-unsafe-0-0", gateway.PartHead)
		})
	}
}

// TestRequestsGoElsewhereAfterHeadsWithoutEnd guards against callers that fail although another server could answer them, and
// against a server that goes on getting requests which it answers with bytes without end.
func TestRequestsGoElsewhereAfterHeadsWithoutEnd(t *testing.T) {
	d := startEntryDaemon(t, buildBinary(t))
	handler, ended := endlessServer(standin.EndlessLine)
	d.serve(t, "faulty-1", handler)
	d.serve(t, "sound-1", func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		writer.Header().Set("X-Server-Signature", "s")
		_, _ = io.WriteString(writer, "whole")
	})
	var requests atomic.Int64
	d.checkCalm(t, func(ctx context.Context) {
		d.askAll(ctx, troubleClients/4, "safe", func(answer standin.ClientAnswer, err error) {
			requests.Add(1)
			if err != nil || answer.Status != http.StatusOK || answer.Body != "whole" {
				t.Errorf("answer %+v, %v", answer, err)
			}
		})
	})
	checkClosed(t, ended())
	if all, faulty := requests.Load(), len(ended()); faulty > int(all)/4 {
		t.Errorf("%d of %d requests were sent to the faulty server", faulty, all)
	}
}

// checkClosed checks that the daemon closed all connections with bytes without end at once.
func checkClosed(t *testing.T, ended []standin.EndlessAnswer) {
	t.Helper()
	if len(ended) == 0 {
		t.Error("no answer without end was sent")
	}
	for _, answer := range ended {
		if !answer.Closed || answer.Sent > closedBytes {
			t.Errorf("%s: %d bytes sent within %v, closed by the daemon: %t", answer.Part, answer.Sent, answer.Took, answer.Closed)
			return
		}
	}
}

// TestEventsWithoutEndTakeNoMemory guards against a daemon that gathers an event of a resumable stream until its machine's
// memory is used up.
func TestEventsWithoutEndTakeNoMemory(t *testing.T) {
	binary := buildBinary(t)
	for _, part := range []standin.Endless{standin.EndlessEvent, standin.EndlessUnframedEvent, standin.EndlessLaterEvent} {
		t.Run(string(part), func(t *testing.T) {
			d := startEntryDaemon(t, binary)
			handler, ended := endlessServer(part)
			d.serve(t, "faulty-1", handler)
			d.checkCalm(t, func(ctx context.Context) {
				var group sync.WaitGroup
				for _, route := range []string{"resumable", "stream"} {
					group.Go(func() {
						d.askAll(ctx, troubleClients/2, route, func(answer standin.ClientAnswer, err error) {
							if err == nil && answer.Status == http.StatusOK && answer.Complete {
								t.Errorf("an answer without end looks complete: %.200s", answer.Body)
							}
						})
					})
				}
				group.Wait()
			})
			checkClosed(t, ended())
			d.checkTold(t, "t-resumable-0-0", gateway.PartEvent)
		})
	}
}

// TestOtherBytesWithoutEndTakeNoMemory covers the parts of answers whose size the daemon or the HTTP library bounded from the
// start, and bytes behind a whole answer: at once, and while the connection rests.
func TestOtherBytesWithoutEndTakeNoMemory(t *testing.T) {
	binary := buildBinary(t)
	for _, part := range []standin.Endless{
		standin.EndlessChunkLine, standin.EndlessTrailer, standin.EndlessBody, standin.EndlessFailure, standin.EndlessSurplus, standin.EndlessLateSurplus,
	} {
		t.Run(string(part), func(t *testing.T) {
			d := startEntryDaemon(t, binary)
			handler, ended := endlessServer(part)
			d.serve(t, "faulty-1", handler)
			complete := part == standin.EndlessSurplus || part == standin.EndlessLateSurplus
			d.checkCalm(t, func(ctx context.Context) {
				var group sync.WaitGroup
				for _, route := range []string{"resumable", "stream", "unsafe", "safe"} {
					for client := range troubleClients / 4 {
						group.Go(func() {
							for number := 0; ctx.Err() == nil; number++ {
								d.checkDiscarded(ctx, t, route, fmt.Sprintf("t-%s-%d-%d", route, client, number), complete)
							}
						})
					}
				}
				group.Wait()
			})
			if part != standin.EndlessBody && part != standin.EndlessFailure {
				checkClosed(t, ended())
			}
		})
	}
}

// checkDiscarded sends a request, reads its answer without keeping it, and checks that it is complete, or not. Bytes behind a
// whole answer may come when the next request was just sent on the connection, which then fails.
func (d *entryDaemon) checkDiscarded(ctx context.Context, t *testing.T, route, id string, complete bool) {
	t.Helper()
	status, err := d.discard(ctx, route, id)
	failed := complete && err == nil && status == http.StatusBadGateway
	if ctx.Err() == nil && !failed && (err == nil && status == http.StatusOK) != complete {
		t.Errorf("%s: status %d, %v; want a complete answer: %t", id, status, err, complete)
	}
	time.Sleep(10 * time.Millisecond)
}
