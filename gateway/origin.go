package gateway

import (
	"context"

	"github.com/wheatweir/wheatweir/fleet"
)

// Origins knows which software version began a stream. It must be safe for concurrent use. Only Find blocks.
type Origins interface {
	// Began is told that the first event of a stream goes out that may be taken up.
	Began(begun BegunStream)
	// Find returns what began the stream which a request of a route takes up, or false if nobody can know. Service is where
	// the request goes if that does not say.
	Find(ctx context.Context, request *Request, route *fleet.Route, service string) (StreamOrigin, bool)
}

// StreamOrigin is the service and the software version of the instances that began a stream.
type StreamOrigin struct {
	Service  string
	Software string
}

// BegunStream is a stream whose first event goes out, or the first one since its client took it up.
type BegunStream struct {
	Request  *Request
	Route    *fleet.Route
	Service  string
	Software string
}

// origin is the software version of the instances that began a stream. What two versions write does not fit together, and
// instances do not check it.
type origin struct {
	pinned   bool
	software string
}

// pin has the stream go on at instances of one version only, from its first event on.
func (o *origin) pin(software string) { o.pinned, o.software = true, software }

// allows reports whether a stream may go on at an instance.
func (o *origin) allows(instance *fleet.Instance) bool {
	return !o.pinned || instance.Software == o.software
}

// findOrigin finds the version of the stream that the request takes up. It reports why the request must not be served, or
// nothing.
func (e *exchange) findOrigin(ctx context.Context) Reason {
	goesOn := e.request.ResumeAfter != ""
	if e.gateway.settings.Origins == nil || !e.route.Resumable || !goesOn && e.request.Resumes == "" {
		return ""
	}
	began, known := e.gateway.settings.Origins.Find(ctx, e.request, e.route, e.service)
	switch {
	case known:
		e.service = began.Service
		e.origin.pin(began.Software)
	case goesOn:
		return ReasonUnknownOrigin
	}
	return ""
}

// began pins the stream to the version of the instance whose first event goes out.
func (e *exchange) began(instance *fleet.Instance) {
	e.origin.pin(instance.Software)
	if e.gateway.settings.Origins != nil && e.route.Resumable {
		e.gateway.settings.Origins.Began(BegunStream{Request: e.request, Route: e.route, Service: e.service, Software: instance.Software})
	}
}

// lacksSoftware reports whether no instance is left at which the stream may go on: it cannot be known when one comes back.
func (e *exchange) lacksSoftware(view *fleet.View) bool {
	if !e.origin.pinned {
		return false
	}
	for _, instance := range view.Instances(e.service) {
		if !instance.Leaving && e.origin.allows(instance) {
			return false
		}
	}
	return true
}
