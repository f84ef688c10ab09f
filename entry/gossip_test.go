package entry

import (
	"fmt"
	"testing"
)

// TestGossipReachesAllAlike guards against daemons that hear of crashes and of what servers said much later than others, as
// whoever tells draws them seldom: the order of a small map is far from even.
func TestGossipReachesAllAlike(t *testing.T) {
	const draws = 4000
	for _, others := range []int{1, 2, 7, 63} {
		book := addressBook{"self": "own"}
		for number := range others {
			book[fmt.Sprint("d", number)] = fmt.Sprint("a", number)
		}
		drawn := map[string]int{}
		for range draws {
			drawn[book.any("self")]++
		}
		for number := range others {
			if got, even := drawn[fmt.Sprint("a", number)], draws/others; got < even/2 || got > 2*even {
				t.Errorf("%d others: daemon %d was drawn %d times of %d", others, number, got, draws)
			}
		}
	}
	if got := (addressBook{"self": "own"}).any("self"); got != "" {
		t.Errorf("a daemon alone draws %q", got)
	}
}
