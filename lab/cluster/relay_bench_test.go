package cluster_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/daemon"
	"github.com/wheatweir/wheatweir/lab/client"
	"github.com/wheatweir/wheatweir/lab/cluster"
	"github.com/wheatweir/wheatweir/lab/standin/objectstore"
	"github.com/wheatweir/wheatweir/settings"
	"github.com/wheatweir/wheatweir/upstream"
)

// tokensPerStream is the length of each relayed answer.
const tokensPerStream = 2000

const tokenEvent = `data: {"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"token"},"finish_reason":null}]}` + "\n\n"

// fastEngine serves one model and sends tokens as fast as they are taken, one
// chunk and one write for each.
func fastEngine(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveFast(conn)
		}
	}()
	return listener.Addr().String()
}

func serveFast(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(tokenEvent), tokenEvent)
	last := "data: [DONE]\n\n"
	end := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(last), last)
	for number := uint64(1); ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if strings.HasPrefix(request.URL.Path, "/control") {
			body := api.Encode(api.Report{
				BackEnd: "engine-1", Boot: "boot", Sequence: uint64(time.Now().UnixNano()), MemoryBytes: 80 << 30, Slots: 64,
				Residents: []api.Artifact{{Model: "m", Version: "v1"}},
			})
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range tokensPerStream {
			if _, err := io.WriteString(conn, chunk); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, end)
	}
}

// startRelayDaemon starts one daemon before the fast engine.
func startRelayDaemon(b *testing.B, engineAddress string) string {
	b.Helper()
	store, err := objectstore.Listen("127.0.0.1:0", objectstore.Settings{WritesPerSecond: 1000, ReadsPerSecond: 1000, MaxValueBytes: 1 << 20})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(store.Close)
	store.Do(func(now time.Time, core *objectstore.Core) {
		core.SetMachine(now, api.Machine{
			Name: "engine-1", Role: api.RoleEngine, State: api.MachineLive, Address: engineAddress, MemoryBytes: 80 << 30, ChecksFence: true,
		})
	})
	s := settings.Default()
	s.Daemon = settings.Daemon{
		Name: "d", Zone: "z", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", PlatformAddress: store.Address(),
		DeploymentKey: cluster.DeploymentKey, LogLevel: "info",
	}
	s.Operators.Credential = cluster.Credential
	s.Control.JoinWait = 100 * time.Millisecond
	s.Control.PollInterval = 100 * time.Millisecond
	s.Control.PlanInterval = 100 * time.Millisecond
	running, err := daemon.Start(s, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(running.Kill)
	createModel(b, running.CallerAddress())
	return running.CallerAddress()
}

func createModel(b *testing.B, address string) {
	b.Helper()
	caller := client.New([]string{address})
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := cluster.Wait(ctx, "model created", func() bool {
		result, err := caller.Operator(ctx, address, cluster.Credential, "create model m version v1 size 1GiB replicas 1")
		return err == nil && (result.Error == "" || strings.Contains(result.Error, "exists"))
	})
	if err != nil {
		b.Fatal(err)
	}
	err = cluster.Wait(ctx, "model serves", func() bool {
		result, err := caller.Operator(ctx, address, "", "show placements where observed = true")
		return err == nil && len(result.Rows) == 1
	})
	if err != nil {
		b.Fatal(err)
	}
}

// startBareRelay starts a relay that only copies, without any decision.
func startBareRelay(b *testing.B, engineAddress string) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	pool := upstream.NewPool(upstream.DefaultSettings())
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		request := fasthttp.AcquireRequest()
		c.Request.CopyTo(request)
		response, err := pool.Do(context.Background(), engineAddress, request, upstream.Options{})
		if err != nil {
			c.Error(err.Error(), fasthttp.StatusBadGateway)
			return
		}
		c.SetContentType(response.Header("Content-Type"))
		c.SetBodyStreamWriter(func(w *bufio.Writer) {
			defer response.Close()
			buffer := make([]byte, 4096)
			for {
				count, err := response.Read(buffer)
				_, _ = w.Write(buffer[:count])
				if err != nil || w.Flush() != nil {
					return
				}
			}
		})
	}}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() {
		_ = server.Shutdown()
		pool.Close()
	})
	return listener.Addr().String()
}

// BenchmarkRelay relays streams of tokens through a whole daemon, and through a
// relay that only copies. Run it with -cpu 1 for figures on one core; the
// engine and the caller run in the same process and count.
func BenchmarkRelay(b *testing.B) {
	starts := []struct {
		name  string
		start func(*testing.B, string) string
	}{{"bare", startBareRelay}, {"daemon", startRelayDaemon}}
	for _, each := range starts {
		b.Run(each.name, func(b *testing.B) {
			address := each.start(b, fastEngine(b))
			body, err := json.Marshal(map[string]any{"model": "m", "stream": true, "messages": []string{"x"}})
			if err != nil {
				b.Fatal(err)
			}
			tokens := 0
			for b.Loop() {
				response, err := http.Post("http://"+address+"/v1/chat/completions", "application/json", strings.NewReader(string(body)))
				if err != nil {
					b.Fatal(err)
				}
				count, err := io.Copy(io.Discard, response.Body)
				response.Body.Close()
				if err != nil || count < tokensPerStream*int64(len(tokenEvent)) {
					b.Fatalf("%d bytes, %v", count, err)
				}
				tokens += tokensPerStream
			}
			b.ReportMetric(float64(tokens)/b.Elapsed().Seconds(), "tokens/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(tokens), "ns/token")
		})
	}
}
