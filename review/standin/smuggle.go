package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// splitPause lies between the two parts of a head that comes in two packets.
	splitPause = 200 * time.Millisecond
	// answerWait is how long a client reads answers on one connection.
	answerWait = 1500 * time.Millisecond
)

// attempt is one connection of a client, with the bytes that it sends.
type attempt struct {
	name string
	// parts are sent one after the other, with a pause between them.
	parts []string
}

type smuggle struct {
	*scenario
	mutex sync.Mutex
	// hidden are the ids that stand in the body of another request only.
	hidden map[string]bool
	runs   []string
	broken int
}

func playSmuggle(s *scenario) (bool, error) {
	g := &smuggle{scenario: s, hidden: map[string]bool{}}
	if err := g.startServers(); err != nil {
		return false, err
	}
	s.store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-check", "host": "ficu95.example", "pathPrefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 150,
			"priority": 2, "service": "quay-app", "maxAttempts": 1, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "quay-app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err := s.startMachines(); err != nil {
		return false, err
	}
	for number, m := range s.machines {
		for round := range 3 {
			for _, a := range g.attempts(fmt.Sprintf("%x%x", number, round)) {
				g.play(m, a)
			}
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.note("runs: %d, of these of requests that stood inside another one: %d", len(g.runs), g.broken)
	return g.broken > 0, nil
}

// attempts returns what one client sends. The outer request has a body with a length, and in this body stands the text of
// an inner request. With the disruption the outer one also says that its body comes in chunks.
func (g *smuggle) attempts(serial string) []attempt {
	outer := func(name, lineEnd, chunked string) (head, body string) {
		inner := "cc" + serial + name
		g.mutex.Lock()
		g.hidden[inner] = true
		g.mutex.Unlock()
		body = "0\r\n\r\nPOST /puxa403/inner HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + inner + "\r\nX-Deadline-Ms: 1000\r\nContent-Length: 3\r\n\r\nabc"
		head = "POST /puxa403/outer HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: bb" + serial + name + "\r\nX-Deadline-Ms: 1000" + lineEnd +
			fmt.Sprintf("Content-Length: %d\r\n", len(body)) + chunked + "\r\n"
		return head, body
	}
	if !g.trouble {
		head, body := outer("00", "\r\n", "")
		return []attempt{{name: "a length only", parts: []string{head + body}}}
	}
	const chunked = "Transfer-Encoding: chunked\r\n"
	plainHead, plainBody := outer("01", "\r\n", chunked)
	lineHead, lineBody := outer("02", "\n", chunked)
	laterHead, laterBody := outer("03", "\r\n", chunked)
	first := "POST /puxa403/first HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: aa" + serial + "03\r\nX-Deadline-Ms: 1000\r\nContent-Length: 2\r\n\r\nab"
	split := strings.Index(laterHead, "Transfer-Encoding")
	return []attempt{
		{name: "both, each line with CR LF", parts: []string{plainHead + plainBody}},
		{name: "both, the line before the length ends with LF alone", parts: []string{lineHead + lineBody}},
		{name: "both, behind another request and in two packets", parts: []string{first + laterHead[:split], laterHead[split:] + laterBody}},
	}
}

func (g *smuggle) play(m *machine, a attempt) {
	conn, err := net.DialTimeout("tcp", m.at(frontPort), callTimeout)
	if err != nil {
		g.note("%s: %v", m.name, err)
		return
	}
	defer conn.Close()
	for number, part := range a.parts {
		if number > 0 {
			time.Sleep(splitPause)
		}
		g.note("%s: %s: sent %q", m.name, a.name, part)
		if _, err := io.WriteString(conn, part); err != nil {
			g.note("%s: %v", m.name, err)
			return
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(answerWait))
	reader := bufio.NewReader(conn)
	for {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
				g.note("%s: %v", m.name, err)
			}
			return
		}
		body, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		g.note("%s: %s: answered %d, id %q, %q", m.name, a.name, answer.StatusCode, answer.Header.Get("X-Request-Id"), body)
	}
}

// startServers starts three servers, which note what they run.
func (g *smuggle) startServers() error {
	for number, zone := range []string{"north-hall", "south-hall", "pier-room"} {
		id := fmt.Sprintf("i-%010x", number+1)
		address, err := g.listenServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
				writer.Header().Set("X-Instance-Id", id)
				writer.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			name := request.Header.Get("X-Request-Id")
			g.mutex.Lock()
			g.runs = append(g.runs, name)
			smuggled := g.hidden[name]
			if smuggled {
				g.broken++
			}
			g.mutex.Unlock()
			g.note("server %s runs %s: %s %s, body %q, stood inside another request: %t", id, name, request.Method, request.RequestURI, body, smuggled)
			writer.Header().Set("X-Request-Id", name)
			writer.Header().Set("X-Server-Signature", "sig."+id+"."+name)
			_, _ = io.WriteString(writer, "done "+name)
		}))
		if err != nil {
			return err
		}
		g.store.Put("servers", id, map[string]any{
			"service": "quay-app", "address": address, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "callSeq": 0,
		})
	}
	return nil
}
