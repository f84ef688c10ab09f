package entry

import (
	"sync"

	"github.com/wheatweir/wheatweir/coordination"
)

type wantKey struct{ service, model string }

// wants counts what requests at this daemon use and wait for. It implements
// gateway.Wants.
type wants struct {
	mutex  sync.Mutex
	models map[wantKey]*coordination.ModelLoad
	// urgent tells the control duty that a request began to wait.
	urgent chan struct{}
}

func newWants() *wants {
	return &wants{models: map[wantKey]*coordination.ModelLoad{}, urgent: make(chan struct{}, 1)}
}

func (w *wants) load(service, model string) *coordination.ModelLoad {
	key := wantKey{service, model}
	load := w.models[key]
	if load == nil {
		load = &coordination.ModelLoad{Service: service, Model: model}
		w.models[key] = load
	}
	return load
}

// Enter implements gateway.Wants.
func (w *wants) Enter(service, model string) func() {
	w.add(service, model, 1)
	return func() { w.add(service, model, -1) }
}

func (w *wants) add(service, model string, change int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	load := w.load(service, model)
	load.Requests += change
	if load.Requests == 0 {
		delete(w.models, wantKey{service, model})
	}
}

// Want implements gateway.Wants.
func (w *wants) Want(service, model, adapter string) func() {
	w.wait(service, model, adapter, 1)
	select {
	case w.urgent <- struct{}{}:
	default:
	}
	return func() { w.wait(service, model, adapter, -1) }
}

func (w *wants) wait(service, model, adapter string, change int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	load := w.load(service, model)
	load.Waiting += change
	if adapter == "" {
		return
	}
	if load.Adapters == nil {
		load.Adapters = map[string]int{}
	}
	load.Adapters[adapter] += change
	if load.Adapters[adapter] <= 0 {
		delete(load.Adapters, adapter)
	}
}

// all returns a copy of the present numbers.
func (w *wants) all() []coordination.ModelLoad {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	loads := make([]coordination.ModelLoad, 0, len(w.models))
	for _, load := range w.models {
		copied := *load
		copied.Adapters = make(map[string]int, len(load.Adapters))
		for adapter, count := range load.Adapters {
			copied.Adapters[adapter] = count
		}
		loads = append(loads, copied)
	}
	return loads
}
