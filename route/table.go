package route

import "github.com/wheatweir/wheatweir/api"

// Table is a view of what serves which model and service. It is never changed,
// but the Load of each back end that it points to is.
type Table struct {
	Models   map[string]*Model
	Services map[string]*Service
}

// Model is one model with the back ends that may serve it.
type Model struct {
	Spec       api.Model
	Candidates []Candidate
}

// Slots returns the batch slots of all candidates.
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
	// Serving says that the version is the one configured for new requests.
	Serving bool
	// Observed says that a recent report shows the weights in memory.
	Observed bool
	// Draining says that an operator wants the back end empty. It is used
	// only while nothing else serves the model.
	Draining bool
	// Adapters lists the adapters that are known, or assumed, to be there.
	Adapters []string
}

// BackEnd is one engine as routing sees it.
type BackEnd struct {
	Name    string
	Address string
	Zone    string
	Region  string
	Load    *Load
}

// Service is one plain service with the machines that run it.
type Service struct {
	Spec     api.Service
	Machines []*BackEnd
}
