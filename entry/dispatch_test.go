package entry_test

import (
	"regexp"
	"strings"
	"sync"
	"testing"
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

var leads = regexp.MustCompile(`dispatch: Changed\." node=(d\d+) dispatcher=(d\d+) own=true`)

// TestDispatcherChoosesForItsGroup runs a fleet that is large enough for groups: the
// daemons ask their dispatcher, which chooses for all, and serve on by themselves, without
// a failed request, when it is killed.
func TestDispatcherChoosesForItsGroup(t *testing.T) {
	logs := &lockedBuffer{}
	f := startWithLogs(t, 13, logs)
	f.waitReady(t)
	eventually(t, "all daemons follow one dispatcher", func() bool {
		found := leads.FindStringSubmatch(logs.String())
		return found != nil && strings.Count(logs.String(), "dispatcher="+found[2]+" own=false") >= len(f.daemons)-1
	})
	dispatcher := leads.FindStringSubmatch(logs.String())[2]
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
		for _, found := range leads.FindAllStringSubmatch(logs.String(), -1) {
			if found[2] != dispatcher && strings.Contains(logs.String(), "chosen_by="+found[2]) {
				return true
			}
		}
		return false
	})
}
