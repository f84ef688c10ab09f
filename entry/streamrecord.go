package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/platform"
	"github.com/wheatweir/wheatweir/resumption"
)

const (
	// recordTick is the time between two looks for what is due to the durable record, unless a stream is added.
	recordTick = 100 * time.Millisecond
	// recordReadPause is the minimum time between two reads of the durable record, for each daemon that there is at least
	// recordReadPausePerDaemon.
	recordReadPause          = time.Second
	recordReadPausePerDaemon = 2 * time.Millisecond
	// recordReadTimeout bounds how long a request waits for a read.
	recordReadTimeout = 500 * time.Millisecond
)

// streamRecord reads and writes the durable record of streams.
type streamRecord struct {
	daemon   *Daemon
	tracker  *resumption.Tracker
	recorder *resumption.Recorder
	source   *platform.Collection[resumption.Shard]
	// added tells the duties that keep the shards that there are new streams.
	added [resumption.ShardCount]chan struct{}

	mutex sync.Mutex
	last  *recordRead
	// reads holds a read until it is performed; there is one at a time.
	reads chan *recordRead
	// places are those of the shards that were merged. Only the read in progress uses them.
	places map[string]history.Place
}

func newStreamRecord(d *Daemon, tracker *resumption.Tracker) *streamRecord {
	s := &streamRecord{
		daemon: d, tracker: tracker, source: d.store.StreamRecord(), places: map[string]history.Place{}, reads: make(chan *recordRead, 1),
		recorder: resumption.NewRecorder(d.started, d.current().Name, tracker, d.current().FirstStart),
	}
	for number := range s.added {
		s.added[number] = make(chan struct{}, 1)
	}
	s.source.Skipped = d.unreadable("stream record")
	return s
}

// restore reads the record once this daemon receives updates about new instances. What appeared before that is in the record.
func (s *streamRecord) restore() {
	d := s.daemon
	for d.ctx.Err() == nil {
		sleep(d.ctx, recordTick)
		if s.tracker.ObservedFor(d.clock.Now()) == 0 {
			continue
		}
		if s.read(d.ctx) == nil {
			return
		}
		sleep(d.ctx, longestPause(int(d.fleet.rank.Load()), int(d.fleet.live.Load())))
	}
}

// readForRequest reads the record for a request, unless it was read a moment ago.
func (s *streamRecord) readForRequest(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordReadTimeout)
	defer cancel()
	_ = s.read(ctx)
}

// recordRead is one read of the record. Its error counts once it is done.
type recordRead struct {
	begunAt time.Time
	done    chan struct{}
	err     error
}

// read reads the record, or waits for the read that is in progress. A read that began a moment ago is not repeated.
func (s *streamRecord) read(ctx context.Context) error {
	read := s.currentRead()
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// currentRead returns the last read if it is recent or in progress, and begins one otherwise.
func (s *streamRecord) currentRead() *recordRead {
	d := s.daemon
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := d.clock.Now()
	pause := max(recordReadPause, recordReadPausePerDaemon*time.Duration(d.fleet.live.Load()))
	if s.last != nil && now.Sub(s.last.begunAt) < pause {
		return s.last
	}
	if s.last != nil {
		select {
		case <-s.last.done:
		default:
			return s.last
		}
	}
	read := &recordRead{begunAt: now, done: make(chan struct{})}
	s.last = read
	s.reads <- read
	return read
}

// runReads performs the reads, one after the other.
func (s *streamRecord) runReads() {
	for {
		select {
		case read := <-s.reads:
			read.err = s.merge(read.begunAt)
			close(read.done)
		case <-s.daemon.ctx.Done():
			return
		}
	}
}

// merge reads all shards and adds them to the tracker.
func (s *streamRecord) merge(begunAt time.Time) error {
	d := s.daemon
	freshness := feed.Newest
	if s.tracker.HistoryComplete(begunAt) {
		// Only streams of others may be missing.
		freshness = feed.MayLag
	}
	shards, err := s.list(d.ctx, freshness)
	d.metrics.countRecordCall("list", err)
	if err != nil {
		d.log.add("origin", "Record not read.", "error", err, "took_ms", d.clock.Since(begunAt).Milliseconds())
		return err
	}
	s.tracker.MergeRecord(d.clock.Now(), begunAt, shards, d.current().FirstStart)
	return nil
}

// list returns the shards. The streams of those that have not changed since the last read are left out. Shards that may be
// older than the time of the call do not count as complete.
func (s *streamRecord) list(ctx context.Context, freshness feed.Freshness) ([]resumption.Shard, error) {
	var shards []resumption.Shard
	places := map[string]history.Place{}
	after, unreadable := "", false
	for {
		page, err := s.source.ListPage(ctx, after, freshness)
		if err != nil {
			return nil, err
		}
		for _, item := range page.Items {
			if item.Gone {
				// It cannot be read, and may have held versions that the others lack.
				unreadable = true
				continue
			}
			if s.places[item.Name] == item.Place {
				item.Value.Streams = nil
			}
			places[item.Name] = item.Place
			item.Value.Complete = item.Value.Complete && freshness == feed.Newest
			shards = append(shards, item.Value)
		}
		if after = page.Next; after == "" {
			s.places = places
			return withoutCompleteness(shards, unreadable), nil
		}
	}
}

// withoutCompleteness returns the shards of a record of which some cannot be read: then none counts as complete, not even an empty
// record.
func withoutCompleteness(shards []resumption.Shard, unreadable bool) []resumption.Shard {
	if !unreadable {
		return shards
	}
	for i := range shards {
		shards[i].Complete = false
	}
	return append(shards, resumption.Shard{})
}

// send hands new streams to the owners of their shards.
func (s *streamRecord) send(now time.Time) {
	for _, update := range s.recorder.Outgoing(now) {
		s.daemon.origins.send(update.Daemon, &resumption.Message{Record: update.Streams})
	}
	s.wake()
}

// accept adds the streams that another daemon sends.
func (s *streamRecord) accept(now time.Time, streams []resumption.Stream) {
	s.recorder.Accept(now, streams)
	s.wake()
}

func (s *streamRecord) wake() {
	for number := range s.added {
		if !s.recorder.HasChanges(number) {
			continue
		}
		select {
		case s.added[number] <- struct{}{}:
		default:
		}
	}
}

// storeRestored makes the record be read and written again after the store has come back from an earlier copy.
func (s *streamRecord) storeRestored() {
	s.tracker.StoreRestored()
	s.recorder.StoreRestored()
}

// keep writes what is due to one shard.
func (s *streamRecord) keep(number int) {
	for s.daemon.ctx.Err() == nil {
		step, due := s.recorder.NextStep(s.daemon.clock.Now(), number)
		if due {
			s.perform(number, step)
			continue
		}
		timer := time.NewTimer(s.recorder.Wait(s.daemon.clock.Now(), number, recordTick))
		select {
		case <-timer.C:
		case <-s.added[number]:
		case <-s.daemon.ctx.Done():
		}
		timer.Stop()
	}
}

func (s *streamRecord) perform(number int, step resumption.Step) {
	d := s.daemon
	if step.Write == nil {
		shard, place, err := d.store.StreamShard(d.ctx, number)
		d.metrics.countRecordCall("read", err)
		if err != nil {
			s.failed(number, "read", err)
			return
		}
		s.recorder.Loaded(d.clock.Now(), number, shard, place)
		return
	}
	place, err := d.store.SaveStreamShard(d.ctx, number, step.Place, step.Write)
	d.metrics.countRecordCall("write", err)
	if err != nil {
		s.failed(number, "write", err)
		return
	}
	s.recorder.Written(d.clock.Now(), number, place)
}

func (s *streamRecord) failed(number int, call string, err error) {
	s.recorder.Failed(s.daemon.clock.Now(), number, platform.ErrConflict.Has(err))
	s.daemon.log.add("origin", "Record not kept.", "shard", number, "call", call, "error", err)
}
