package resumption

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/history"
)

// newTestRecorder returns the recorder of a daemon without others, some time after its start, and its tracker.
func newTestRecorder(firstStart bool) (*Recorder, *Tracker) {
	tracker := NewTracker()
	tracker.SetVersionWindow(testStart, time.Minute)
	return NewRecorder(testStart.Add(-ownershipDelay), "self", tracker, firstStart), tracker
}

// nextStep returns the step that is due for a shard, which must be a write or a read as wanted.
func nextStep(t *testing.T, r *Recorder, now time.Time, number int, write bool) Step {
	t.Helper()
	step, due := r.NextStep(now, number)
	if !due || (step.Write != nil) != write {
		t.Fatalf("due %t, %+v; a write is wanted: %t", due, step, write)
	}
	return step
}

// recordedStream returns an ID whose stream belongs to a shard.
func recordedStream(number int) string {
	for try := 0; ; try++ {
		if id := fmt.Sprint("s", try); digestOf(id).shard() == number {
			return id
		}
	}
}

// TestTwoOwnersKeepEachOthersStreams guards against a daemon that overwrites what another one has recorded.
func TestTwoOwnersKeepEachOthersStreams(t *testing.T) {
	r, _ := newTestRecorder(true)
	nextStep(t, r, testStart, 0, false)
	r.Loaded(testStart, 0, nil, history.Place{})
	r.Accept(testStart, []Stream{stream(recordedStream(0), "v1")})
	nextStep(t, r, testStart, 0, true)
	r.Failed(testStart, 0, true)
	nextStep(t, r, testStart, 0, false)
	const elsewhere = Digest(ShardCount)
	stored := &Shard{Complete: true, Versions: map[string][]string{"svc": {"v1"}}, Streams: []StreamGroup{{Began{"svc", "v1"}, time.Minute, []Digest{elsewhere}}}}
	r.Loaded(testStart, 0, stored, history.At(1, uint64(7)))
	step := nextStep(t, r, testStart, 0, true)
	var written []Digest
	for _, group := range step.Write.Streams {
		written = append(written, group.Streams...)
	}
	if step.Place.Revision != 7 || len(written) != 2 || !slices.Contains(written, elsewhere) {
		t.Errorf("revision %d, streams %v", step.Place.Revision, written)
	}
}

// TestRecordedVersionsStay guards against a daemon that has just started and drops versions that it has not seen from the
// durable record, and against keeping them for good.
func TestRecordedVersionsStay(t *testing.T) {
	r, tracker := newTestRecorder(false)
	nextStep(t, r, testStart, 0, false)
	r.Loaded(testStart, 0, &Shard{Complete: true, Versions: map[string][]string{"svc": {"v1"}}}, history.At(1, uint64(1)))
	tracker.Observe(testStart, "svc", []string{"v2"}, false)
	step := nextStep(t, r, testStart, 0, true)
	if got := step.Write.Versions["svc"]; !slices.Equal(got, []string{"v1", "v2"}) || !step.Write.Complete {
		t.Errorf("versions %v, complete %t", got, step.Write.Complete)
	}
	r.Written(testStart, 0, history.At(1, 2))
	if tracker.Counts().MixedServices != 1 {
		t.Error("the recorded version is not known to the tracker")
	}
	end := testStart.Add(time.Minute + time.Second)
	for now := testStart; !now.After(end); now = now.Add(freshWindow / 2) {
		tracker.MarkSynced(now)
		tracker.Observe(now, "svc", []string{"v2"}, false)
	}
	if got := nextStep(t, r, end, 0, true).Write.Versions["svc"]; !slices.Equal(got, []string{"v2"}) {
		t.Errorf("versions %v a minute later", got)
	}
}

// TestMissingShardIsIncomplete guards against taking a record that is missing or cannot be read for one that shows
// everything, except at the first start of a deployment.
func TestMissingShardIsIncomplete(t *testing.T) {
	for _, c := range []struct {
		name       string
		firstStart bool
		revision   uint64
		complete   bool
	}{{"first start", true, 0, true}, {"missing", false, 0, false}, {"unreadable", false, 5, false}, {"unreadable at the first start", true, 5, false}} {
		r, tracker := newTestRecorder(c.firstStart)
		tracker.Observe(testStart, "svc", []string{"v1"}, false)
		nextStep(t, r, testStart, 0, false)
		r.Loaded(testStart, 0, nil, history.At(1, uint64(c.revision)))
		if step := nextStep(t, r, testStart, 0, true); step.Write.Complete != c.complete || step.Place.Revision != c.revision {
			t.Errorf("%s: complete %t, revision %d", c.name, step.Write.Complete, step.Place.Revision)
		}
	}
}

// TestRecordIsReadAgainAfterARestore guards against a durable record that stays as it was in the copy that the store came back
// from.
func TestRecordIsReadAgainAfterARestore(t *testing.T) {
	r, tracker := newTestRecorder(true)
	tracker.MarkSynced(testStart)
	tracker.Observe(testStart, "svc", []string{"v1"}, false)
	tracker.MergeRecord(testStart, testStart, nil, true)
	nextStep(t, r, testStart, 0, false)
	r.Loaded(testStart, 0, nil, history.Place{})
	nextStep(t, r, testStart, 0, true)
	r.Written(testStart, 0, history.At(1, 1))
	if _, known := tracker.Decide(testStart, "svc", nil, true); !known {
		t.Fatal("the only version is not known")
	}
	r.StoreRestored()
	tracker.StoreRestored()
	nextStep(t, r, testStart.Add(recordInterval), 0, false)
	if _, known := tracker.Decide(testStart, "svc", nil, true); known {
		t.Error("the record from before the restore still counts")
	}
}

// TestNewOwnerIsSentAllStreams guards against streams that only the previous owner of their shard has.
func TestNewOwnerIsSentAllStreams(t *testing.T) {
	r, tracker := newTestRecorder(true)
	tracker.Observe(testStart, "svc", []string{"v1", "v2"}, false)
	for number := range ShardCount {
		tracker.RecordStream(testStart, stream(recordedStream(number), "v1"))
	}
	if updates := r.Outgoing(testStart); len(updates) != 0 {
		t.Fatalf("%+v sent by the only daemon", updates)
	}
	r.SetDaemons([]Daemon{{"a", "z"}, {"b", "z"}, {"c", "z"}})
	sent := 0
	for _, update := range r.Outgoing(testStart) {
		sent += len(update.Streams)
	}
	kept := 0
	for number := range ShardCount {
		if r.owners[number] == "self" {
			kept++
		}
	}
	if sent+kept != ShardCount || sent == 0 {
		t.Errorf("%d streams sent, %d shards kept", sent, kept)
	}
	if again := r.Outgoing(testStart); len(again) != 0 {
		t.Errorf("%+v sent again", again)
	}
}

// TestShardKeepsItsBounds guards against a shard that no object of the store can hold.
func TestShardKeepsItsBounds(t *testing.T) {
	streams := digestIndex{}
	for number := range maxShardStreams + 100 {
		left := time.Minute
		if number < 100 {
			left = time.Second
		}
		streams.add(Digest(number), Began{"svc", "v1"}, testStart.Add(left))
	}
	count := 0
	for _, group := range streams.groups(testStart) {
		count += len(group.Streams)
		if group.Left < time.Minute {
			t.Errorf("%d streams that expire first are left", len(group.Streams))
		}
	}
	if count != maxShardStreams {
		t.Errorf("%d streams", count)
	}
	streams.add(1000, Began{"svc", "v2"}, testStart.Add(time.Minute))
	streams.prune(testStart.Add(2 * time.Second))
	if _, found := streams[1000]; !found || !streams[1000].ambiguous || len(streams) != maxShardStreams {
		t.Errorf("%d streams after those that expired, %+v", len(streams), streams[1000])
	}
}

// TestVersionsThatLeftLapseWhileTheRecordIsRead guards against versions of the durable record that count as present for as long
// as the record is read, since the owner of a shard reads what it has written itself.
func TestVersionsThatLeftLapseWhileTheRecordIsRead(t *testing.T) {
	r, tracker := newTestRecorder(true)
	tracker.Observe(testStart, "svc", []string{"v1", "v2"}, false)
	var stored *Shard
	revision := uint64(0)
	end := testStart.Add(10 * time.Minute)
	lastRead := testStart
	for now := testStart; now.Before(end); now = now.Add(freshWindow / 2) {
		tracker.MarkSynced(now)
		tracker.Observe(now, "svc", []string{"v2"}, false)
		if step, due := r.NextStep(now, 0); due && step.Write == nil {
			r.Loaded(now, 0, stored, history.At(1, revision))
		} else if due {
			stored, revision = step.Write, revision+1
			r.Written(now, 0, history.At(1, revision))
		}
		// A client resumes a stream of which no daemon has a record.
		if now.Sub(lastRead) >= 20*time.Second && stored != nil && tracker.NeedsRecord(now, "svc", nil) {
			tracker.MergeRecord(now, now, []Shard{*stored}, false)
			lastRead = now
		}
		tracker.Prune(now)
	}
	if software, known := tracker.Decide(end, "svc", nil, true); !known || software != "v2" {
		t.Errorf("%d services have several versions ten minutes after the last server of v1 left; recorded: %v", tracker.Counts().MixedServices, stored.Versions)
	}
}

// TestWaitEndsWhenACallIsDue guards against a daemon that has just started and looks without pause for calls that are not due.
func TestWaitEndsWhenACallIsDue(t *testing.T) {
	tracker := NewTracker()
	tracker.SetVersionWindow(testStart, time.Minute)
	r := NewRecorder(testStart, "self", tracker, true)
	r.Accept(testStart, []Stream{stream(recordedStream(0), "v1")})
	looks := 0
	for now := testStart; ; looks++ {
		if _, due := r.NextStep(now, 0); due || looks > 100 {
			break
		}
		now = now.Add(r.Wait(now, 0, 100*time.Millisecond))
	}
	if looks > 100 {
		t.Error("no end of looks before the first call is due")
	}
}

// TestRecordKeepsALongerWindow guards against versions that a daemon drops too early after a restart with a configuration whose
// streams may be resumed for less long than those that have begun before.
func TestRecordKeepsALongerWindow(t *testing.T) {
	r, _ := newTestRecorder(true)
	r.tracker.Observe(testStart, "svc", []string{"v1"}, false)
	nextStep(t, r, testStart, 0, false)
	r.Loaded(testStart, 0, nil, history.Place{})
	stored := nextStep(t, r, testStart, 0, true).Write

	tracker := NewTracker()
	const shorter = 20 * time.Second
	tracker.SetVersionWindow(testStart, shorter)
	tracker.MarkSynced(testStart)
	tracker.MergeRecord(testStart, testStart, []Shard{*stored}, false)
	now := testStart
	for ; now.Before(testStart.Add(shorter + time.Second)); now = now.Add(freshWindow / 2) {
		tracker.SetVersionWindow(now, shorter)
		tracker.MarkSynced(now)
		tracker.Observe(now, "svc", []string{"v2"}, false)
	}
	if software, known := tracker.Decide(now, "svc", nil, true); known {
		t.Errorf("a stream of v1 that may be resumed for %v more goes on at %s", testStart.Add(time.Minute).Sub(now), software)
	}
}

// TestRecordedStreamsExpire guards against streams whose time of expiry is put off with each write by another owner.
func TestRecordedStreamsExpire(t *testing.T) {
	streams := digestIndex{}
	streams.add(1, Began{"svc", "v1"}, testStart.Add(time.Minute))
	now := testStart
	for ; now.Before(testStart.Add(2 * time.Minute)); now = now.Add(recordInterval) {
		read := digestIndex{}
		read.addGroups(now, streams.groups(now))
		read.prune(now.Add(recordInterval))
		streams = read
	}
	if len(streams) > 0 {
		t.Errorf("a stream that may be resumed for a minute is kept for %v more after %v", streams[1].until.Sub(now), now.Sub(testStart))
	}
}

// TestVersionsOfRecordedStreamsCount guards against an owner that is sent streams of a version that it has not seen yet, and
// records versions without it as complete.
func TestVersionsOfRecordedStreamsCount(t *testing.T) {
	r, owner := newTestRecorder(true)
	owner.Observe(testStart, "svc", []string{"v1"}, false)
	nextStep(t, r, testStart, 0, false)
	r.Loaded(testStart, 0, nil, history.Place{})
	r.Accept(testStart, []Stream{stream(recordedStream(0), "v2")})
	stored := nextStep(t, r, testStart, 0, true).Write

	tracker := NewTracker()
	tracker.SetVersionWindow(testStart, time.Minute)
	tracker.MarkSynced(testStart)
	tracker.MergeRecord(testStart, testStart, []Shard{*stored}, false)
	tracker.Observe(testStart, "svc", []string{"v1"}, false)
	if software, known := tracker.Decide(testStart, "svc", nil, true); known {
		t.Errorf("a stream that is not recorded goes on at %s, though the record shows streams of v2", software)
	}
}

func BenchmarkNextStepOfShardsOfOthers(b *testing.B) {
	for _, services := range []int{10, 300} {
		b.Run(fmt.Sprint(services, " services"), func(b *testing.B) {
			tracker := NewTracker()
			tracker.SetVersionWindow(testStart, time.Minute)
			for number := range services {
				tracker.Observe(testStart, fmt.Sprint("svc", number), []string{"v1"}, false)
			}
			r := NewRecorder(testStart.Add(-time.Minute), "self", tracker, true)
			for number := range r.owners {
				r.owners[number] = "other"
			}
			for b.Loop() {
				for number := range ShardCount {
					r.NextStep(testStart, number)
				}
			}
		})
	}
}
