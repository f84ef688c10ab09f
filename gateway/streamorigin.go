package gateway

import (
	"context"

	"github.com/wheatweir/wheatweir/fleet"
)

// StreamOrigins tracks which software version started a stream. It must be safe for concurrent use. Only Find blocks.
type StreamOrigins interface {
	// RecordStream records a resumable stream whose first event is sent now.
	RecordStream(begun StartedStream)
	// Find returns the origin of the stream that a request of a route resumes, or false if it cannot be determined.
	// Service is the service of the request if the origin does not name one.
	Find(ctx context.Context, request *Request, route *fleet.Route, service string) (StreamOrigin, bool)
}

// StreamOrigin is the service and the software version of the instances that started a stream.
type StreamOrigin struct {
	Service  string
	Software string
}

// StartedStream is a stream whose first event is sent, or the first event since its client resumed it.
type StartedStream struct {
	Request  *Request
	Route    *fleet.Route
	Service  string
	Software string
}

// requiredOrigin is the software version of the instances that started a stream. The outputs of two versions cannot be
// combined in one stream, and instances do not check for that.
type requiredOrigin struct {
	required bool
	software string
}

// require restricts the stream to instances of one version, from its first event on.
func (o *requiredOrigin) require(software string) { o.required, o.software = true, software }

// allows reports whether a stream may continue at an instance.
func (o *requiredOrigin) allows(instance *fleet.Instance) bool {
	return !o.required || instance.Software == o.software
}

// findOrigin looks up the origin of the stream that the request resumes. It returns the reason why the request must not
// be served, or an empty reason.
func (e *exchange) findOrigin(ctx context.Context) Reason {
	resuming := e.request.ResumeAfter != ""
	if e.gateway.settings.StreamOrigins == nil || !e.route.Resumable || !resuming && e.request.ResumedRequestID == "" {
		return ""
	}
	start, known := e.gateway.settings.StreamOrigins.Find(ctx, e.request, e.route, e.service)
	switch {
	case known:
		e.service = start.Service
		e.requiredOrigin.require(start.Software)
	case resuming:
		return ReasonUnknownOrigin
	}
	return ""
}

// reportSoftware reports to the placement that a stream can resume at instances of one version only. The report holds
// until an instance runs the request or the exchange ends, whatever the request waits for: the instance that has the model
// may be gone, and the next load of the model should be of use to the stream.
func (e *exchange) reportSoftware() {
	if e.requiredOrigin.required && e.request.Model != "" {
		e.withdrawSoftware = e.gateway.demand.SoftwareNeeded(e.service, e.request.Model, e.request.Adapter, e.requiredOrigin.software)
	}
}

// endSoftwareReport withdraws the report of reportSoftware, if there is one.
func (e *exchange) endSoftwareReport() {
	if e.withdrawSoftware != nil {
		e.withdrawSoftware()
		e.withdrawSoftware = nil
	}
}

// recordStart restricts the stream to the version of the instance whose first event is sent, and records it.
func (e *exchange) recordStart(instance *fleet.Instance) {
	e.requiredOrigin.require(instance.Software)
	if e.gateway.settings.StreamOrigins != nil && e.route.Resumable {
		e.gateway.settings.StreamOrigins.RecordStream(StartedStream{Request: e.request, Route: e.route, Service: e.service, Software: instance.Software})
	}
}

// lacksSoftware reports whether no instance is left at which the stream may continue. Such a stream is not worth
// waiting for, since it is unknown when such an instance becomes available again.
func (e *exchange) lacksSoftware(view *fleet.View) bool {
	if !e.requiredOrigin.required {
		return false
	}
	for _, instance := range view.Instances(e.service) {
		if !instance.Leaving && e.requiredOrigin.allows(instance) {
			return false
		}
	}
	return true
}
