package soak

import (
	"context"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// Patient clients wait longer than a planned stop takes, for what does not come: a server that
// never answers, or a model that no server has room for. No fault concerns these servers.
const (
	patience = 3 * grace
	// patientShare is how many other clients there are for each patient one.
	patientShare        = 3
	silentService       = "silent"
	silentEngineService = "silent-engines"
	silentModel         = "silent-model"
	oversizedModel      = "oversized-model"
)

func silentEngineSpec() *fleet.Engine {
	return &fleet.Engine{
		Slots: 64, MemoryTokens: 100000, WeightsMB: 100, AdapterSlots: 4, LoadsPerSecond: loadsPerSecond,
		Models: []fleet.Model{
			{Name: silentModel, WeightsMB: modelMB, LoadTime: 500 * time.Millisecond},
			{Name: oversizedModel, WeightsMB: 500, LoadTime: 500 * time.Millisecond},
		},
	}
}

// addPatience adds the routes and services of patient clients to a configuration.
func addPatience(configuration *fleet.Configuration) {
	unsafe := soakRoute("patient-unsafe", fleet.KindUnsafe, 1, silentService)
	stream := soakRoute("patient-stream", fleet.KindStream, 1, silentEngineService)
	for _, route := range []fleet.Route{unsafe, stream} {
		route.Timeout, route.TargetLatency = patience, patience
		configuration.Routes = append(configuration.Routes, route)
	}
	configuration.Services = append(configuration.Services,
		fleet.Service{Name: silentService, MaxConnections: 200},
		fleet.Service{Name: silentEngineService, MaxConnections: 200, Engine: silentEngineSpec()},
	)
}

// startSilentServers starts the servers that never answer.
func (d *deployment) startSilentServers() error {
	for _, options := range []standin.Options{
		{ID: "silent-0", Service: silentService, Zone: "zone-1", Observer: d.record},
		{ID: "silent-engine-0", Service: silentEngineService, Zone: "zone-1", Observer: d.record, Engine: silentEngineSpec(), Models: []string{silentModel}},
	} {
		server, err := standin.Open(d.store, options)
		if err != nil {
			return ErrSoak.Wrap(err)
		}
		server.Behave(standin.BehaviourSilent)
		d.silent = append(d.silent, server)
	}
	return nil
}

// runPatientClients runs the patient clients until ctx ends.
func (d *deployment) runPatientClients(ctx context.Context) {
	for number := range max(1, d.options.Clients/patientShare) {
		d.group.Go(func() { d.runClient(ctx, d.options.Clients+number, true) })
	}
}

// drawPatient decides what a patient client asks for.
func (c *client) drawPatient(sent *sentRequest) {
	name := "patient-stream"
	switch c.random.IntN(3) {
	case 0:
		name, sent.kind = "patient-unsafe", fleet.KindUnsafe
	case 1:
		sent.kind, sent.Model = fleet.KindStream, silentModel
	default:
		sent.kind, sent.Model = fleet.KindStream, oversizedModel
	}
	if sent.Model != "" {
		sent.PromptTokens, sent.OutputTokens = 200, 10
	}
	sent.Path = "/" + name + "/x"
}
