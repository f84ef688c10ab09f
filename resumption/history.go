package resumption

import (
	"slices"
	"time"
)

// mergeHistory adds the versions and the shared routes of a shard of the durable record.
func (t *Tracker) mergeHistory(now time.Time, shard *Shard) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.adoptHistory(now, shard)
}

// adoptHistory adopts what the durable record tells of the time before this daemon observed the instances. It does not tell
// when that was, so that what is new to this daemon counts as seen now. A daemon that has observed them for the whole version
// window needs no record; otherwise daemons could keep a version alive by reading what they wrote to each other.
func (t *Tracker) adoptHistory(now time.Time, shard *Shard) {
	if t.observedWindow(now) {
		return
	}
	if shard.Window > t.versionWindow {
		t.shorterWindow, t.shortenAt = t.versionWindow, now.Add(shard.Window)
		t.versionWindow = shard.Window
	}
	for service, present := range shard.Versions {
		for _, software := range present {
			if _, known := t.services[service][software]; !known {
				t.markSeen(now, service, []string{software})
			}
		}
	}
	for _, service := range shard.SharedRoutes {
		if _, known := t.shared[service]; !known {
			t.shared[service] = now
		}
	}
}

// observedWindow reports whether this daemon has observed the instances for the whole version window.
func (t *Tracker) observedWindow(now time.Time) bool {
	return t.versionWindow > 0 && t.observedFor(now) >= t.versionWindow
}

// takeUnrecorded returns the own streams that the durable record lacks, each once.
func (t *Tracker) takeUnrecorded() []Stream {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	streams := t.unrecorded
	t.unrecorded = nil
	return streams
}

// ownStreamsOfMixedServices returns the own streams of the services that have several versions.
func (t *Tracker) ownStreamsOfMixedServices(now time.Time) []Stream {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var streams []Stream
	for service := range t.services {
		if t.isMixed(now, service) {
			streams = append(streams, t.streams.ownStreams(now, service)...)
		}
	}
	return streams
}

// knownHistory is what a daemon knows of the recent past.
type knownHistory struct {
	window time.Duration
	// versions are the recent versions of all services, sharedRoutes the services that have recently shared a route.
	versions     map[string][]string
	sharedRoutes []string
	// observedWindow is set if the daemon has observed the instances for the whole version window.
	observedWindow bool
}

func (t *Tracker) history(now time.Time) knownHistory {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := knownHistory{window: t.versionWindow, versions: make(map[string][]string, len(t.services)), observedWindow: t.observedWindow(now)}
	for service, seen := range t.services {
		seen.prune(now.Add(-t.versionWindow))
		known.versions[service] = seen.list()
	}
	for service, sharedAt := range t.shared {
		if now.Sub(sharedAt) < t.versionWindow {
			known.sharedRoutes = append(known.sharedRoutes, service)
		}
	}
	slices.Sort(known.sharedRoutes)
	return known
}
