package entry

import "github.com/wheatweir/wheatweir/quota"

// leastLimit is the least rate, in requests a second, at which an instance gets requests whatever limit it
// names: their answers tell whether the limit still holds.
const leastLimit = 0.2

// instanceLimits are the limits that instances name, by their IDs. It is immutable.
type instanceLimits struct{ byInstance map[string]quota.Limit }

// Rate implements limiter.Subjects.
func (l *instanceLimits) Rate(instance string) (limit quota.Limit, known bool) {
	limit, known = l.byInstance[instance]
	return limit, known
}

// Limited implements limiter.Subjects.
func (l *instanceLimits) Limited() []string {
	names := make([]string, 0, len(l.byInstance))
	for instance := range l.byInstance {
		names = append(names, instance)
	}
	return names
}

// with returns the limits with that of one instance replaced, or without it.
func (l *instanceLimits) with(instance string, perSecond float64, limited bool) *instanceLimits {
	next := &instanceLimits{byInstance: make(map[string]quota.Limit, len(l.byInstance)+1)}
	for known, limit := range l.byInstance {
		next.byInstance[known] = limit
	}
	delete(next.byInstance, instance)
	if limited {
		next.byInstance[instance] = quota.Limit{PerSecond: max(perSecond, leastLimit)}
	}
	return next
}
