package route

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBlockBytes is the size of one block of a prompt's prefix.
	prefixBlockBytes = 512
	// maxPrefixBlocks is the maximum number of blocks that are hashed.
	maxPrefixBlocks = 8
	// prefixIndexSize is the number of slots in a PrefixIndex; a power of two.
	prefixIndexSize = 1 << 15
	// prefixWays is the number of back ends stored per slot.
	prefixWays = 2
)

// PrefixHashes contains the hashes of a prompt's first blocks. Each hash covers all
// bytes up to the end of its block.
type PrefixHashes struct {
	Hashes [maxPrefixBlocks]uint64
	Count  int
}

// HashPrefix hashes the prefix of a prompt for a model reference.
func HashPrefix(reference string, prompt []byte) PrefixHashes {
	var prefix PrefixHashes
	digest := xxhash.New()
	_, _ = digest.WriteString(reference)
	for prefix.Count < maxPrefixBlocks && len(prompt) >= prefixBlockBytes {
		_, _ = digest.Write(prompt[:prefixBlockBytes])
		prompt = prompt[prefixBlockBytes:]
		prefix.Hashes[prefix.Count] = digest.Sum64()
		prefix.Count++
	}
	return prefix
}

// PrefixIndex maps prefixes to the back ends that recently received them. It is a
// hint: entries may be overwritten at any time and may be wrong, which affects only
// performance.
type PrefixIndex struct {
	slots [prefixIndexSize][prefixWays]atomic.Uint64
}

// entryOf packs the upper half of a hash and the ID of a back end.
func entryOf(hash uint64, backEnd uint32) uint64 {
	return hash&^uint64(1<<32-1) | uint64(backEnd)
}

// Record records that a back end received the prefix.
func (x *PrefixIndex) Record(prefix *PrefixHashes, backEnd uint32) {
	for _, hash := range prefix.Hashes[:prefix.Count] {
		slot := &x.slots[hash%prefixIndexSize]
		entry := entryOf(hash, backEnd)
		newest := slot[0].Load()
		if newest == entry {
			continue
		}
		slot[1].Store(newest)
		slot[0].Store(entry)
	}
}

// Match returns the number of blocks in the longest prefix that the back end is recorded for.
func (x *PrefixIndex) Match(prefix *PrefixHashes, backEnd uint32) int {
	for count := prefix.Count; count > 0; count-- {
		hash := prefix.Hashes[count-1]
		slot := &x.slots[hash%prefixIndexSize]
		entry := entryOf(hash, backEnd)
		for way := range prefixWays {
			if slot[way].Load() == entry {
				return count
			}
		}
	}
	return 0
}
