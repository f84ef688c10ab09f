package resumption

import (
	"maps"
	"slices"
	"time"
)

// versions are when the software versions of a service were last seen.
type versions map[string]time.Time

// note takes in that a version is there, and reports whether it was not known.
func (v versions) note(now time.Time, software string) bool {
	_, known := v[software]
	v[software] = now
	return !known
}

// forget drops the versions that were last seen before a moment, unless nothing has been seen since.
func (v versions) forget(before time.Time) {
	newest := time.Time{}
	for _, at := range v {
		if at.After(newest) {
			newest = at
		}
	}
	maps.DeleteFunc(v, func(_ string, at time.Time) bool { return at.Before(before) && at.Before(newest) })
}

// list returns the versions in order.
func (v versions) list() []string { return slices.Sorted(maps.Keys(v)) }
