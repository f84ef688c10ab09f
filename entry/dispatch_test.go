package entry_test

import (
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/wheatweir/wheatweir/entry"
)

// lockedBuffer takes the logs of several daemons.
type lockedBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (b *lockedBuffer) Write(content []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(content)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

var followed = regexp.MustCompile(`dispatch: Changed\." node=(d\d+) dispatcher=(d\d+) `)

// commonDispatcher is the dispatcher that the newest lines of all daemons name, but for
// the one that is off, or empty if they don't agree.
func commonDispatcher(logs string, daemons []entry.Settings, off string) string {
	newest := dispatchers(logs)
	common := ""
	for i := range daemons {
		name := daemons[i].Name
		switch {
		case name == off:
		case newest[name] == "" || common != "" && newest[name] != common:
			return ""
		default:
			common = newest[name]
		}
	}
	return common
}

// dispatchers returns the dispatcher that each daemon's newest line names.
func dispatchers(logs string) map[string]string {
	newest := map[string]string{}
	for _, found := range followed.FindAllStringSubmatch(logs, -1) {
		newest[found[1]] = found[2]
	}
	return newest
}

// TestAnotherDispatcherChoosesMeanwhile covers a dispatcher that is gone and not yet
// missed: the daemons of its group ask that of another zone.
func TestAnotherDispatcherChoosesMeanwhile(t *testing.T) {
	logs := &lockedBuffer{}
	f := startInZones(t, 14, 2, logs)
	f.waitReady(t)
	eventually(t, "each zone follows one dispatcher", func() bool {
		followed := dispatchers(logs.String())
		for i := range f.all {
			if name := followed[f.all[i].Name]; name == "" || name != followed[f.all[i%2].Name] {
				return false
			}
		}
		return followed["d0"] != followed["d1"]
	})
	lost, backup := dispatchers(logs.String())["d0"], dispatchers(logs.String())["d1"]
	for i := range f.all {
		if f.all[i].Name == lost {
			f.daemons[i].Kill()
			f.daemons[i] = nil
		}
	}
	eventually(t, "the other dispatcher chose", func() bool {
		for i := 0; i < len(f.all); i += 2 {
			if f.daemons[i] == nil {
				continue
			}
			if id, status, _, err := post(f.all[i].FrontAddress, "/stream/x", "m"); err != nil || status != 200 {
				t.Errorf("request %s at %s: status %d, %v", id, f.all[i].Name, status, err)
			}
		}
		return regexp.MustCompile(`node=d\d*[02468] .*chosen_by=` + backup + ` `).MatchString(logs.String())
	})
}

// TestDispatcherChoosesForItsGroup runs a fleet that is large enough for groups: the
// daemons ask their dispatcher, which chooses for all, and serve on by themselves, without
// a failed request, when it is killed.
func TestDispatcherChoosesForItsGroup(t *testing.T) {
	logs := &lockedBuffer{}
	f := startWithLogs(t, 13, logs)
	f.waitReady(t)
	dispatcher := ""
	eventually(t, "all daemons follow one dispatcher", func() bool {
		dispatcher = commonDispatcher(logs.String(), f.all, "")
		return dispatcher != ""
	})
	send := func() {
		for i := range f.daemons {
			if f.daemons[i] == nil {
				continue
			}
			if id, status, _, err := post(f.all[i].FrontAddress, "/stream/x", "m"); err != nil || status != 200 {
				t.Errorf("request %s at %s: status %d, %v", id, f.all[i].Name, status, err)
			}
		}
	}
	eventually(t, "requests are chosen by the dispatcher", func() bool {
		send()
		return strings.Count(logs.String(), "chosen_by="+dispatcher) >= len(f.daemons)-1
	})
	for i := range f.daemons {
		if f.all[i].Name == dispatcher {
			f.daemons[i].Kill()
			f.daemons[i] = nil
		}
	}
	send()
	eventually(t, "another dispatcher takes over", func() bool {
		send()
		next := commonDispatcher(logs.String(), f.all, dispatcher)
		return next != "" && next != dispatcher && strings.Contains(logs.String(), "chosen_by="+next)
	})
}
