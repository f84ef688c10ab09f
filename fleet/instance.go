package fleet

import "time"

// Resident is a model loaded on an instance, with its loaded adapters.
type Resident struct {
	Model    string   `msgpack:"m"`
	Adapters []string `msgpack:"a,omitempty"`
}

// HasAdapter reports whether the adapter is loaded. It is true for the empty name, which means no adapter.
func (r *Resident) HasAdapter(adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, loaded := range r.Adapters {
		if loaded == adapter {
			return true
		}
	}
	return false
}

// Instance is one run of a back-end server. After a restart the server is a new instance.
type Instance struct {
	// ID is unique to the run; a later instance may have the same address.
	ID      string `msgpack:"i"`
	Service string `msgpack:"s,omitempty"`
	// Address is "IP:port".
	Address string `msgpack:"a,omitempty"`
	Zone    string `msgpack:"z,omitempty"`
	Slots   int    `msgpack:"n,omitempty"`
	// Software is the version of the instance's software; empty if the instance does not report it.
	Software string `msgpack:"v,omitempty"`
	// Leaving instances finish their running requests and accept no new ones.
	Leaving bool `msgpack:"l,omitempty"`
	// Remaining is the time until a leaving instance terminates; zero if the
	// instance did not report it.
	Remaining time.Duration `msgpack:"t,omitempty"`
	// ColdLeft is how much longer the instance remains cold, as of its last report. A cold instance can
	// serve only a few requests per second.
	ColdLeft time.Duration `msgpack:"c,omitempty"`
	// Evacuated means that the instance is treated as leaving because its zone is evacuated. It is not encoded:
	// each daemon derives it from the evacuations.
	Evacuated bool       `msgpack:"-"`
	Residents []Resident `msgpack:"r,omitempty"`
}

// Resident returns the entry of a model, or nil if the model is not loaded.
func (i *Instance) Resident(model string) *Resident {
	for r := range i.Residents {
		if i.Residents[r].Model == model {
			return &i.Residents[r]
		}
	}
	return nil
}
