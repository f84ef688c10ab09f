package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// TestLargeAnswersAreCheckedLikeSmallOnes guards against an answer that reaches its client as a success only because it is too
// large to be buffered whole: one without a signature, and a failure that another server could avoid.
func TestLargeAnswersAreCheckedLikeSmallOnes(t *testing.T) {
	d := startEntryDaemon(t, buildBinary(t))
	signed, status := atomic.Bool{}, atomic.Int64{}
	status.Store(http.StatusOK)
	body := strings.Repeat("x", 2<<20)
	d.serve(t, "faulty-1", func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		if signed.Load() {
			writer.Header().Set("X-Server-Signature", "s")
		}
		writer.WriteHeader(int(status.Load()))
		_, _ = io.WriteString(writer, body)
	})
	// Kinds of answers, each to as many requests; the server is not avoided, since it is the only one.
	const requests = 8
	for _, c := range []struct {
		name   string
		signed bool
		status int
		route  string
		want   int
	}{
		{"genuine", true, http.StatusOK, "unsafe", http.StatusOK},
		{"not genuine", false, http.StatusOK, "unsafe", http.StatusBadGateway},
		{"a failure of an unsafe run", true, http.StatusInternalServerError, "unsafe", http.StatusInternalServerError},
		{"a failure that implies no run", true, http.StatusServiceUnavailable, "unsafe", http.StatusBadGateway},
	} {
		signed.Store(c.signed)
		status.Store(int64(c.status))
		for number := range requests {
			answer, err := d.ask(context.Background(), c.route, fmt.Sprintf("%s-%d", strings.ReplaceAll(c.name, " ", "-"), number))
			if err != nil || answer.Status != c.want || answer.Status == c.status && (answer.Body != body || !answer.Complete) {
				t.Errorf("%s: status %d with %d bytes, %v; want %d", c.name, answer.Status, len(answer.Body), err, c.want)
			}
		}
	}
}
