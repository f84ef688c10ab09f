package caller_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestAnswerToUnreadBodyArrivesWhole covers a body that is refused by its length:
// the connection must end in order although bytes of the body were not read. Closing
// it at once would reset it, and a reset can overtake the answer.
func TestAnswerToUnreadBodyArrivesWhole(t *testing.T) {
	server := listen(t, echo)
	conn, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	const length = 256 << 10
	head := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
	if _, err := io.WriteString(conn, head+strings.Repeat("x", 32<<10)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("the connection did not end in order: %v", err)
	}
	if !strings.HasPrefix(string(answer), "HTTP/1.1 413 ") {
		t.Fatalf("answer %.200q", answer)
	}
	if _, err := io.WriteString(conn, strings.Repeat("x", 32<<10)); err != nil {
		t.Fatalf("the rest of the body is reset: %v", err)
	}
}
