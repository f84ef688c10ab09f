package residency

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// crashTTL is how long a crash counts without further evidence. After that the instance list
// reflects it: the platform removes an entry after three missed heartbeats (3.6 s).
const crashTTL = 4 * time.Second

// RecordCrash records that the address of an instance refused a connection, so that its models are
// lost. A report that was requested later shows that the instance is alive.
func (t *Tracker) RecordCrash(at time.Time, id string) {
	if state := t.instances[id]; state != nil && at.After(state.reportAt) {
		state.crashedAt = at
	}
}

// crashed reports whether the instance has crashed within crashTTL and has sent no report since.
func (s *instanceState) crashed(now time.Time) bool {
	return !s.crashedAt.IsZero() && now.Sub(s.crashedAt) < crashTTL
}

// replacesCrashed reports whether replicas on a crashed instance are replaced before the instance
// list reflects the crash. This is only worth a load if the replacement is ready before the list is
// updated.
func replacesCrashed(engine *fleet.Engine) bool {
	for i := range engine.Models {
		if engine.Models[i].LoadTime >= crashTTL {
			return false
		}
	}
	return true
}
