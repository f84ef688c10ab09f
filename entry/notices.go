package entry

import (
	"strings"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/notice"
)

// notices gathers what servers say of themselves in their answers. It is safe for concurrent use.
type notices struct {
	daemon *Daemon

	mutex sync.Mutex
	book  *notice.Book
}

func newNotices(d *Daemon) *notices { return &notices{daemon: d, book: notice.NewBook()} }

// hear takes in what a server says of itself in an answer to this daemon.
func (n *notices) hear(heard fleet.Heard) {
	now := n.daemon.clock.Now()
	if unreadable := heard.Notice.Unreadable; len(unreadable) > 0 {
		n.daemon.metrics.unreadableNotices.Inc(1)
		n.log("Not understood.", "instance", heard.Instance, "fields", strings.Join(unreadable, ","))
	}
	n.mutex.Lock()
	change := n.book.Hear(now, &heard)
	n.mutex.Unlock()
	if !change.Empty() {
		n.tellLog(now, &change, "answer")
	}
}

// tellLog logs what is new of an instance, and where this daemon knows it from.
func (n *notices) tellLog(now time.Time, change *notice.Change, from string) {
	fields := []any{"instance", change.Instance, "from", from}
	if change.Leaving {
		fields = append(fields, "leaving", true)
	}
	switch {
	case change.Limited:
		fields = append(fields, "limit_per_s", change.PerSecond)
	case change.Lifted:
		fields = append(fields, "limit_per_s", "none")
	}
	if !change.RestUntil.IsZero() {
		fields = append(fields, "rest_ms", change.RestUntil.Sub(now).Milliseconds())
	}
	n.log("Said of itself.", fields...)
	n.daemon.metrics.notices.Inc(1)
}

func (n *notices) log(text string, fields ...any) { n.daemon.log.add("instances", text, fields...) }

// tick forgets what no longer counts and sets the gauges.
func (n *notices) tick(now time.Time, view *fleet.View) {
	n.mutex.Lock()
	n.book.Forget(now, func(id string) bool { return view.Instance(id) != nil })
	leaving, limited, resting := n.book.Counts(now)
	n.mutex.Unlock()
	n.daemon.metrics.leaving.Update(float64(leaving))
	n.daemon.metrics.limited.Update(float64(limited))
	n.daemon.metrics.resting.Update(float64(resting))
}
