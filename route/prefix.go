package route

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBlockBytes is the length of one block of a prompt's prefix.
	prefixBlockBytes = 512
	// prefixBlocks is the number of blocks that are looked at.
	prefixBlocks = 8
	// prefixIndexSize is the number of hints; a power of two.
	prefixIndexSize = 1 << 15
	// prefixWays is how many back ends one prefix is remembered for.
	prefixWays = 2
)

// PrefixHashes are the hashes of a prompt's first blocks, each of all bytes up
// to the block's end.
type PrefixHashes struct {
	Hashes [prefixBlocks]uint64
	Count  int
}

// HashPrefix hashes the prefix of a prompt for one model reference.
func HashPrefix(reference string, prompt []byte) PrefixHashes {
	var prefix PrefixHashes
	digest := xxhash.New()
	_, _ = digest.WriteString(reference)
	for prefix.Count < prefixBlocks && len(prompt) >= prefixBlockBytes {
		_, _ = digest.Write(prompt[:prefixBlockBytes])
		prompt = prompt[prefixBlockBytes:]
		prefix.Hashes[prefix.Count] = digest.Sum64()
		prefix.Count++
	}
	return prefix
}

// PrefixIndex remembers which back ends got which prefix. It is a hint: entries
// may be overwritten at any time and may be wrong, which costs speed only.
type PrefixIndex struct {
	slots [prefixIndexSize][prefixWays]atomic.Uint64
}

// entryOf packs the upper half of a hash and a back end's number.
func entryOf(hash uint64, backEnd uint32) uint64 {
	return hash&^uint64(1<<32-1) | uint64(backEnd)
}

// Record notes that a back end got the prefix.
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

// Match returns how many blocks of the prefix the back end is known to have.
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
