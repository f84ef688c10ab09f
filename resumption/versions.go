package resumption

import (
	"maps"
	"slices"
	"time"
)

// versions maps each software version of a service to the time at which it was last seen.
type versions map[string]time.Time

// markSeen records that a version is present, and reports whether it is new.
func (v versions) markSeen(now time.Time, software string) bool {
	_, known := v[software]
	v[software] = now
	return !known
}

// prune removes the versions last seen before the given time, but always keeps those seen most recently.
func (v versions) prune(before time.Time) {
	newest := time.Time{}
	for _, at := range v {
		if at.After(newest) {
			newest = at
		}
	}
	maps.DeleteFunc(v, func(_ string, at time.Time) bool { return at.Before(before) && at.Before(newest) })
}

// list returns the versions in ascending order.
func (v versions) list() []string { return slices.Sorted(maps.Keys(v)) }
