package demo

import (
	"context"
	"fmt"
	"io"

	"github.com/wheatweir/wheatweir/lab/client"
	"github.com/wheatweir/wheatweir/lab/cluster"
)

// Up runs the demo's cluster until ctx ends, and prints lines to try.
func Up(ctx context.Context, output, logs io.Writer) error {
	running, err := cluster.Start(cluster.DefaultOptions(logs))
	if err != nil {
		return err
	}
	defer running.Close()
	caller := client.New(running.CallerAddresses())
	defer caller.Close()
	if err := Setup(ctx, running, caller, output); err != nil {
		return err
	}
	PrintLines(output, running.Daemons[0].CallerAddress(), cluster.Credential)
	<-ctx.Done()
	return nil
}

// PrintLines prints a line for a caller and lines for an operator.
func PrintLines(output io.Writer, address, credential string) {
	fmt.Fprintf(output, `
A caller:
  curl -N http://%[1]s/v1/chat/completions -H 'Content-Type: application/json' -d '{"model":"lecture-summary:maths","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Summarise lecture 1"}]}'
An operator:
  go run ./cmd/wheatweir do --daemon %[1]s show placements
  go run ./cmd/wheatweir do --daemon %[1]s --credential '%[2]s' set model glossary replicas 3
  go run ./cmd/wheatweir shell --daemon %[1]s --credential '%[2]s'
Interrupt to stop.
`, address, credential)
}
