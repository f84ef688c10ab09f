package route

import "github.com/wheatweir/wheatweir/api"

// Table maps models and services to the back ends that serve them. It is immutable,
// except for the Load of each back end, which it shares with other tables.
type Table struct {
	Models   map[string]*Model
	Services map[string]*Service
}

// Model is one model with the back ends that may serve it.
type Model struct {
	Spec       api.Model
	Candidates []Candidate
}

// Slots returns the total number of batch slots of all candidates.
func (m *Model) Slots() int {
	total := 0
	for i := range m.Candidates {
		total += m.Candidates[i].BackEnd.Load.Slots()
	}
	return total
}

// Candidate is one replica of a model version.
type Candidate struct {
	BackEnd *BackEnd
	Version string
	// Serving means that the version is the one configured for new requests.
	Serving bool
	// Observed means that a recent report shows the weights in memory.
	Observed bool
	// Draining means that an operator is draining the back end. It is used only
	// if no other back end can serve the model.
	Draining bool
	// Adapters lists the adapters that are reported, or assumed, to be loaded.
	Adapters []string
}

// BackEnd is an engine or a service's machine, with the properties that routing uses.
type BackEnd struct {
	Name    string
	Address string
	Zone    string
	Region  string
	Load    *Load
}

// Service is a service without models, with the machines that run it.
type Service struct {
	Spec     api.Service
	Machines []*BackEnd
}
