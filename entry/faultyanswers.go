package entry

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/internal/exposition"
	"github.com/wheatweir/wheatweir/internal/messagehead"
)

// mostFaultyInstances bounds the instances that have series of their own; the others share one.
const (
	mostFaultyInstances  = 64
	otherFaultyInstances = "others"
)

// faultyAnswers counts answers of instances with a part that was too large, or with a malformed head. It is safe for concurrent use.
type faultyAnswers struct {
	root      *exposition.Root
	mutex     sync.Mutex
	instances map[string]bool
	counters  map[faultKey]tally.Counter
}

// faultKey names a series: the metric, the instance, and the label that tells the kind of fault.
type faultKey struct{ metric, instance, label, kind string }

func newFaultyAnswers(root *exposition.Root) *faultyAnswers {
	return &faultyAnswers{root: root, instances: map[string]bool{}, counters: map[faultKey]tally.Counter{}}
}

// countOversized counts an answer of which a part was too large.
func (f *faultyAnswers) countOversized(instance string, part gateway.AnswerPart) {
	f.count(faultKey{"answers_oversized", instance, "part", string(part)})
}

// countMalformed counts an answer whose head has a defect.
func (f *faultyAnswers) countMalformed(instance string, defect messagehead.Defect) {
	f.count(faultKey{"answers_malformed", instance, "defect", string(defect)})
}

func (f *faultyAnswers) count(key faultKey) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.instances[key.instance] {
		if len(f.instances) < mostFaultyInstances {
			f.instances[key.instance] = true
		} else {
			key.instance = otherFaultyInstances
		}
	}
	counter, found := f.counters[key]
	if !found {
		counter = f.root.Tagged(map[string]string{"instance": key.instance, key.label: key.kind}).Counter(key.metric)
		f.counters[key] = counter
	}
	counter.Inc(1)
}
