package api

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Priority is the tier of a model or request. Lower values are served first.
type Priority int

// Priorities, most urgent first.
const (
	PriorityCritical Priority = iota
	PriorityPaid
	PriorityFree
	priorityCount
)

// PriorityCount is the number of priorities.
const PriorityCount = int(priorityCount)

var priorityNames = [PriorityCount]string{"critical", "paid", "free"}

// String returns the name used in settings, headers and commands.
func (p Priority) String() string {
	if p < 0 || p >= priorityCount {
		return fmt.Sprintf("priority(%d)", int(p))
	}
	return priorityNames[p]
}

// PriorityNames lists the valid names, most urgent first.
func PriorityNames() []string { return priorityNames[:] }

// ErrInvalid is the class of errors for values outside their valid range.
var ErrInvalid = errs.Class("api: invalid")

// ParsePriority returns the priority with the given name.
func ParsePriority(name string) (Priority, error) {
	for i, known := range priorityNames {
		if name == known {
			return Priority(i), nil
		}
	}
	return 0, ErrInvalid.New("priority %q: use one of %s", name, strings.Join(priorityNames[:], ", "))
}

// Version is one set of weights of a model.
type Version struct {
	Name string `json:"name"`
	// Bytes is the accelerator memory that the weights take.
	Bytes int64 `json:"bytes"`
}

// Adapter is a small set of weights that is applied on top of a model.
type Adapter struct {
	Name string `json:"name"`
	// Bytes is the accelerator memory that the adapter takes.
	Bytes int64 `json:"bytes"`
}

// Model is the configuration of one model, written by operators.
type Model struct {
	Name     string   `json:"name"`
	Priority Priority `json:"priority"`
	// Serving names the version that new requests should use.
	Serving string `json:"serving"`
	// Versions holds at least the serving version.
	Versions []Version `json:"versions"`
	Adapters []Adapter `json:"adapters,omitempty"`
	// MinReplicas is the number of back ends that hold the model even with
	// no demand. Two keep it reachable through the loss of one back end.
	MinReplicas int `json:"min_replicas"`
	// MaxReplicas bounds growth under demand; zero means no bound.
	MaxReplicas int `json:"max_replicas,omitempty"`
	// Pins lists back ends that must hold the model.
	Pins []string `json:"pins,omitempty"`
}

// ServingVersion returns the version that new requests should use.
func (m *Model) ServingVersion() (Version, bool) {
	for _, version := range m.Versions {
		if version.Name == m.Serving {
			return version, true
		}
	}
	return Version{}, false
}

// Bytes returns the memory for the serving version with all adapters.
func (m *Model) Bytes() int64 {
	version, _ := m.ServingVersion()
	total := version.Bytes
	for _, adapter := range m.Adapters {
		total += adapter.Bytes
	}
	return total
}

// HasAdapter reports whether the model has an adapter of this name.
func (m *Model) HasAdapter(name string) bool {
	for _, adapter := range m.Adapters {
		if adapter.Name == name {
			return true
		}
	}
	return false
}

// Validate checks what an operator may write.
func (m *Model) Validate() error {
	if m.Name == "" || strings.ContainsAny(m.Name, "/@+: ") {
		return ErrInvalid.New("model name %q: use letters, digits, '-', '_' and '.'", m.Name)
	}
	if m.Priority < 0 || m.Priority >= priorityCount {
		return ErrInvalid.New("model %s: priority %d", m.Name, m.Priority)
	}
	if m.MinReplicas < 1 {
		return ErrInvalid.New("model %s: replicas %d: must be at least 1", m.Name, m.MinReplicas)
	}
	if m.MaxReplicas != 0 && m.MaxReplicas < m.MinReplicas {
		return ErrInvalid.New("model %s: max replicas %d is under min replicas %d", m.Name, m.MaxReplicas, m.MinReplicas)
	}
	version, found := m.ServingVersion()
	if !found {
		return ErrInvalid.New("model %s: serving version %q does not exist", m.Name, m.Serving)
	}
	if version.Bytes <= 0 {
		return ErrInvalid.New("model %s: version %s: size must be positive", m.Name, version.Name)
	}
	for _, adapter := range m.Adapters {
		if adapter.Bytes <= 0 {
			return ErrInvalid.New("model %s: adapter %s: size must be positive", m.Name, adapter.Name)
		}
	}
	return nil
}

// Service is the configuration of a plain service that requests are routed to.
type Service struct {
	Name     string   `json:"name"`
	Priority Priority `json:"priority"`
	// Machines lists the machines that run the service.
	Machines []string `json:"machines"`
}

// Artifact is something that an engine holds in accelerator memory: the
// weights of one model version, or one adapter on top of them.
type Artifact struct {
	Model   string `json:"m" msgpack:"m"`
	Version string `json:"v" msgpack:"v"`
	Adapter string `json:"a,omitempty" msgpack:"a,omitempty"`
}

// Base returns the weights that an adapter needs; for weights, itself.
func (a Artifact) Base() Artifact { return Artifact{Model: a.Model, Version: a.Version} }

// String returns "model@version" or "model@version+adapter".
func (a Artifact) String() string {
	if a.Adapter == "" {
		return a.Model + "@" + a.Version
	}
	return a.Model + "@" + a.Version + "+" + a.Adapter
}

// ParseArtifact is the inverse of Artifact.String.
func ParseArtifact(text string) (Artifact, error) {
	model, rest, found := strings.Cut(text, "@")
	if !found || model == "" || rest == "" {
		return Artifact{}, ErrInvalid.New("artifact %q: use MODEL@VERSION or MODEL@VERSION+ADAPTER", text)
	}
	version, adapter, _ := strings.Cut(rest, "+")
	return Artifact{Model: model, Version: version, Adapter: adapter}, nil
}

// ModelReference is how a request names what it wants: "model" or
// "model:adapter".
type ModelReference struct {
	Model   string
	Adapter string
}

// ParseModelReference splits the model field of a request.
func ParseModelReference(text string) ModelReference {
	model, adapter, _ := strings.Cut(text, ":")
	return ModelReference{Model: model, Adapter: adapter}
}
