package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/explain"
	"github.com/wheatweir/wheatweir/internal/messagehead/messageheadtest"
)

const (
	// malformedBody is the body behind a malformed head.
	malformedBody = "malformed"
	// answeredAtOnce is how soon a client has an answer whatever its server sent: a fifth of its patience.
	answeredAtOnce = time.Second
)

// toldMalformedHeads are heads by the defect that log, metrics and explain name.
func toldMalformedHeads() map[string]messageheadtest.Case {
	told := map[string]string{
		"status": "status 000", "status_line": "another protocol", "field_name": "a blank in a field name", "field_value": "byte 0x01 in a value",
		"folding": "a blank before a later field name", "framing": "two lengths",
	}
	cases := map[string]messageheadtest.Case{}
	for _, c := range messageheadtest.Malformed() {
		for defect, name := range told {
			if c.Name == name {
				cases[defect] = c
			}
		}
	}
	return cases
}

// answerMalformed returns a handler that answers with a head and keeps its connection open.
func answerMalformed(c messageheadtest.Case) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fields := fmt.Sprintf("X-Request-Id: %s\r\nX-Server-Signature: s\r\nContent-Length: %d\r\n", request.Header.Get("X-Request-Id"), len(malformedBody))
		_, _ = io.WriteString(conn, c.Head(fields)+malformedBody)
		_, _ = conn.Read(make([]byte, 1))
	}
}

// TestMalformedHeadsAreToldAndTriedElsewhere guards against malformed heads that reach the clients of a real daemon as answers, against
// clients that wait for their time, and against a cause that the log, the metrics and the story of a request do not name.
func TestMalformedHeadsAreToldAndTriedElsewhere(t *testing.T) {
	binary := buildBinary(t)
	cases := toldMalformedHeads()
	if len(cases) != 6 {
		t.Fatalf("%d cases", len(cases))
	}
	for defect, c := range cases {
		t.Run(defect, func(t *testing.T) {
			d := startEntryDaemon(t, binary)
			d.serve(t, "faulty-1", answerMalformed(c))
			d.eventually(t, "the server is used", func() bool {
				answer, err := d.ask(context.Background(), "unsafe", "first")
				return err == nil && answer.Status == http.StatusBadGateway
			})
			for _, route := range []string{"unsafe", "stream", "safe", "resumable"} {
				began := time.Now()
				answer, err := d.ask(context.Background(), route, "alone-"+route)
				if err != nil || answer.Status != http.StatusBadGateway || answer.Signature != "" || answer.RetryAfter != 0 || strings.Contains(answer.Body, malformedBody) {
					t.Errorf("%s: %+v, %v", route, answer, err)
				}
				if took := time.Since(began); took > answeredAtOnce {
					t.Errorf("%s: answered after %v", route, took)
				}
			}
			d.checkMalformedTold(t, "alone-unsafe", defect)
			d.serve(t, "sound-1", func(writer http.ResponseWriter, request *http.Request) {
				writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
				writer.Header().Set("X-Server-Signature", "s")
				_, _ = io.WriteString(writer, "whole")
			})
			d.eventually(t, "the sound server is used", func() bool {
				answer, err := d.ask(context.Background(), "safe", "first")
				return err == nil && answer.Status == http.StatusOK
			})
			for number := range 20 {
				if answer, err := d.ask(context.Background(), "safe", fmt.Sprint("beside-", number)); err != nil || answer.Status != http.StatusOK || answer.Body != "whole" {
					t.Errorf("beside a sound server: %+v, %v", answer, err)
				}
			}
		})
	}
}

// checkMalformedTold checks that metrics, the log and the story of a request name the server and what is wrong with its head.
func (d *entryDaemon) checkMalformedTold(t *testing.T, request, defect string) {
	t.Helper()
	d.eventually(t, "a metric names the server", func() bool {
		return d.metric(t, `wheatweir_answers_malformed{defect="`+defect+`",instance="faulty_1"}`) > 0
	})
	d.eventually(t, "the log names the server", func() bool {
		content, err := os.ReadFile(d.log)
		return err == nil && strings.Contains(string(content), "instance=faulty-1") && strings.Contains(string(content), "malformed="+defect)
	})
	log, err := os.Open(d.log)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	reader := explain.NewReader(request)
	if err := reader.Read(log); err != nil {
		t.Fatal(err)
	}
	if story, err := reader.Story(); err != nil || !strings.Contains(story.Cause, "faulty-1 sent a malformed head ("+defect+")") {
		t.Errorf("%v, %q", err, story.Cause)
	}
}
