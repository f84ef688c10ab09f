package demo

import (
	"time"

	"github.com/wheatweir/wheatweir/lab/standin/engine"
)

// checkEngine asks a stand-in whether its memory was ever overcommitted.
func checkEngine(name string, server *engine.Server) error {
	overcommits := 0
	server.Do(func(_ time.Time, core *engine.Core) { overcommits = core.Overcommits })
	if overcommits > 0 {
		return ErrDemo.New("%s: memory was overcommitted %d times", name, overcommits)
	}
	return nil
}
