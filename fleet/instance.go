package fleet

import "time"

// Resident is a model that an instance can serve.
type Resident struct {
	Model    string   `msgpack:"m"`
	Adapters []string `msgpack:"a,omitempty"`
}

// HasAdapter reports whether an adapter is there; the empty name always is.
func (r *Resident) HasAdapter(adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, held := range r.Adapters {
		if held == adapter {
			return true
		}
	}
	return false
}

// Instance is one run of a back-end server. A restart makes a new instance.
type Instance struct {
	// ID is unique to the run; an address may be used again by another one.
	ID      string `msgpack:"i"`
	Service string `msgpack:"s,omitempty"`
	// Address is "IP:port".
	Address string `msgpack:"a,omitempty"`
	Zone    string `msgpack:"z,omitempty"`
	Slots   int    `msgpack:"n,omitempty"`
	// Software is the version of the software that the instance runs; empty if it does not say.
	Software string `msgpack:"v,omitempty"`
	// Leaving instances finish what they run and take no new requests.
	Leaving bool `msgpack:"l,omitempty"`
	// Remaining is how long an instance that leaves at short notice still
	// lives; zero if it did not say.
	Remaining time.Duration `msgpack:"t,omitempty"`
	// ColdLeft is how much longer the instance stayed cold when it said so: until then it bears only
	// few requests a second.
	ColdLeft time.Duration `msgpack:"c,omitempty"`
	// Evacuated says that the instance counts as leaving because its zone is evacuated. Each daemon knows that by
	// itself.
	Evacuated bool       `msgpack:"-"`
	Residents []Resident `msgpack:"r,omitempty"`
}

// Resident returns the entry of a model, or nil.
func (i *Instance) Resident(model string) *Resident {
	for r := range i.Residents {
		if i.Residents[r].Model == model {
			return &i.Residents[r]
		}
	}
	return nil
}
