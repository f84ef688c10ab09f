package pace

// maxBatchEntries bounds the entries of a Batch. A group of 24 daemons with 64 entries a second brings 1,536.
const maxBatchEntries = 4096

// Batch merges entries of the same instance and model. It is not safe for concurrent use.
type Batch struct {
	entries []Entry
	indices map[entryKey]int
}

// entryKey is the key that entries are merged by.
type entryKey struct{ instance, model string }

// NewBatch returns an empty batch.
func NewBatch() *Batch { return &Batch{indices: map[entryKey]int{}} }

// Len returns the number of merged entries.
func (b *Batch) Len() int { return len(b.entries) }

// Add merges an entry into the batch. Invalid entries, and new keys in a batch with maxBatchEntries, are dropped.
func (b *Batch) Add(entry Entry) {
	if !entry.valid() {
		return
	}
	key := entryKey{entry.Instance, entry.Model}
	index, found := b.indices[key]
	if !found {
		if len(b.entries) < maxBatchEntries {
			b.indices[key] = len(b.entries)
			entry.Count = min(entry.Count, maxMergedSamples)
			b.entries = append(b.entries, entry)
		}
		return
	}
	b.entries[index].merge(&entry)
}

// merge adds the samples of another entry. Beyond maxMergedSamples samples, older ones count less.
func (e *Entry) merge(other *Entry) {
	added := min(other.Count, maxMergedSamples)
	e.Count = min(e.Count+added, maxMergedSamples)
	e.Log += (other.Log - e.Log) * float32(added) / float32(e.Count)
}

// Take removes and returns at most limit entries, in the order in which they were first added.
func (b *Batch) Take(limit int) []Entry {
	count := min(limit, len(b.entries))
	if count == 0 {
		return nil
	}
	taken := make([]Entry, count)
	copy(taken, b.entries)
	remaining := copy(b.entries, b.entries[count:])
	b.entries = b.entries[:remaining]
	clear(b.indices)
	for index := range b.entries {
		b.indices[entryKey{b.entries[index].Instance, b.entries[index].Model}] = index
	}
	return taken
}
