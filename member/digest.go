package member

import (
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBuckets is how many parts the digest of the members has. A message tells up to so many, see
	// foldedBuckets.
	digestBuckets = 256
	// membersPerBucket is how many members share a part in a message, about.
	membersPerBucket = 4
)

// digest sums up what is known of members and back ends, and does not depend on the order in which it was learned.
// Suspicions and deaths are left out: the first pass quickly, and the second are forgotten at different times.
type digest struct {
	// buckets are the sums over the members whose names hash to them.
	buckets  [digestBuckets]uint32
	backEnds uint64
}

// replace takes a member out of the digest as it was, and in as it is; both may be missing.
func (g *digest) replace(before, after *Member) {
	for _, known := range []*Member{before, after} {
		if known == nil || known.State == Dead {
			continue
		}
		sum := uint32(memberDigest(known))
		if known == before {
			sum = -sum
		}
		g.buckets[bucketOf(known.Name)] += sum
	}
}

// replaceBackEnd does the same with news about a back end.
func (g *digest) replaceBackEnd(before, after *BackEnd) {
	if before != nil {
		g.backEnds -= backEndDigest(before)
	}
	g.backEnds += backEndDigest(after)
}

// sum is one number for all of it.
func (g *digest) sum() uint64 {
	total := g.backEnds
	for index, bucket := range g.buckets {
		total += uint64(bucket) * (2*uint64(index) + 1)
	}
	return total
}

// foldedBuckets returns the sums in so many parts as a group of a size tells.
func (g *digest) foldedBuckets(groupSize int) []uint32 {
	count := min(digestBuckets, 1<<bits.Len(uint(groupSize/membersPerBucket)))
	folded := make([]uint32, count)
	for index, bucket := range g.buckets {
		folded[index%count] += bucket
	}
	return folded
}

// differing returns the places at which the sums of another daemon are not those here.
func (g *digest) differing(other []uint32) map[int]bool {
	if len(other) == 0 || digestBuckets%len(other) != 0 {
		return nil
	}
	differingBuckets := map[int]bool{}
	own := make([]uint32, len(other))
	for index, bucket := range g.buckets {
		own[index%len(other)] += bucket
	}
	for index := range own {
		if own[index] != other[index] {
			differingBuckets[index] = true
		}
	}
	return differingBuckets
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % digestBuckets) }

func memberDigest(m *Member) uint64 {
	return xxhash.Sum64String(m.Name + " " + strconv.FormatUint(m.Incarnation, 36) + " " + strconv.FormatBool(m.Leaving))
}

func backEndDigest(b *BackEnd) uint64 {
	return xxhash.Sum64String(b.Name + " " + b.Boot + " " + strconv.FormatUint(b.Change, 36) + " " + strconv.Itoa(int(b.State)))
}
