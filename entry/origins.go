package entry

import (
	"context"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/internal/calls"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/resumption"
)

const (
	// originTimeout is how long other daemons may take to say what began a stream. They answer within a few
	// milliseconds unless their share of the processor is used up, which lasts up to a tenth of a second, or they are gone.
	originTimeout = 200 * time.Millisecond
	// originRest is how long a daemon that did not answer is not asked again.
	originRest = 250 * time.Millisecond
	// originsEvery is the time between two looks at the versions that servers run.
	originsEvery = 100 * time.Millisecond
	// waitsPerTimeout is how many times a route's longest wait a client may go on taking its stream up.
	waitsPerTimeout = 2
)

// origins tells this daemon and the others which software version began a stream. It implements gateway.Origins.
type origins struct {
	daemon *Daemon
	keeper *resumption.Tracker
	record *streamRecord
	check  *versionCheck
	calls  *calls.Calls[*resumption.Answer]
	// targets are the services that resumable routes have led to lately.
	targets routeTargets
	// observedAt is when the control duty last looked at the versions, and heardAt the place in the store's history up to which the
	// node had heard of instances by then.
	observedAt time.Time
	heardAt    history.Place
}

func newOrigins(d *Daemon) *origins {
	tracker := resumption.NewTracker()
	return &origins{daemon: d, keeper: tracker, record: newStreamRecord(d, tracker), check: newVersionCheck(d, tracker), targets: routeTargets{}, calls: calls.New[*resumption.Answer]()}
}

// RecordStream implements gateway.Origins.
func (o *origins) RecordStream(begun gateway.StartedStream) {
	now := o.daemon.clock.Now()
	left := begun.Request.Arrived.Add(takenUpWithin(begun.Route, begun.Request)).Sub(now)
	stream := resumption.Stream{ID: begun.Request.ID, Service: begun.Service, Software: begun.Software, Left: left}
	o.tell(o.keeper.RecordStream(now, stream))
	if resumes := begun.Request.ResumedRequestID; resumes != "" && begun.Request.ResumeAfter != "" {
		// Its client goes on naming the first try. One that begins anew has its first event from this one.
		stream.ID = resumes
		o.tell(o.keeper.RecordStream(now, stream))
	}
	o.record.send(now)
}

// takenUpWithin is how long after a request its client may take its stream up.
func takenUpWithin(route *fleet.Route, request *gateway.Request) time.Duration {
	return min(max(request.ClientTimeout, route.Timeout), waitsPerTimeout*route.Timeout)
}

func (o *origins) tell(tells []resumption.Update) {
	for _, told := range tells {
		o.daemon.metrics.streamsTold.Inc(int64(len(told.Streams)))
		o.send(told.Daemon, &resumption.Message{Streams: told.Streams})
	}
}

func (o *origins) send(name string, message *resumption.Message) bool {
	address, known := o.daemon.fleet.peerAddresses.Load().of(name)
	if known {
		o.daemon.peers.Send(address, coordination.Message{From: o.daemon.current().Name, Resumption: message})
	}
	return known
}

// How the version that began a stream came to be known, or not.
const (
	foundHere        = "own"
	foundElsewhere   = "daemon"
	foundRecorded    = "record"
	foundOnlyVersion = "only_version"
	foundNowhere     = "unknown"
	// foundMoved means that the route no longer leads to the service that began the stream.
	foundMoved = "moved"
)

// Find implements gateway.Origins.
func (o *origins) Find(ctx context.Context, request *gateway.Request, route *fleet.Route, service string) (gateway.StreamOrigin, bool) {
	askedAt := o.daemon.clock.Now()
	found := o.find(ctx, request.ResumedRequestID, route, service)
	o.daemon.metrics.takenUp(found.by).Inc(1)
	o.daemon.log.add("origin", "Looked up.", "request", request.ID, "resumes", loggedID(request.ResumedRequestID), "service", found.began.Service,
		"by", found.by, "software", found.began.Software, "told_by", found.toldBy, "asked", found.asked, "answers", found.answers, "confirmed", found.confirmed,
		"observed_ms", o.keeper.ObservedFor(askedAt).Milliseconds(), "took_ms", o.daemon.clock.Since(askedAt).Milliseconds())
	return gateway.StreamOrigin{Service: found.began.Service, Software: found.began.Software}, found.by != foundNowhere && found.by != foundMoved
}

// originLookup is what was found about the origin of a stream, and how.
type originLookup struct {
	began resumption.Began
	by    string
	// toldBy is the daemon that knew, asked and answers the numbers of daemons that were asked and that answered.
	toldBy         string
	asked, answers int
	confirmed      confirmation
}

// find finds what began a stream of a route.
func (o *origins) find(ctx context.Context, id string, route *fleet.Route, service string) originLookup {
	found := originLookup{confirmed: notNeeded}
	if began, known := o.keeper.Find(o.daemon.clock.Now(), id); known {
		found.began, found.by = began, foundOn(route, began, foundHere)
		return found
	}
	names := o.keeper.QueryTargets(id)
	heard, toldBy := o.ask(ctx, names, id, service)
	found.asked, found.answers = len(names), len(heard)
	if toldBy != "" {
		began := heard[len(heard)-1].Began
		found.began, found.by, found.toldBy = began, foundOn(route, began, foundElsewhere), toldBy
		return found
	}
	// Before the record is read: a version that comes to be known is a reason to read it.
	if o.keeper.HasOnlyVersion(o.daemon.clock.Now(), service, heard) {
		found.confirmed = confirmationOf(o.check.confirm(ctx))
	}
	if o.keeper.NeedsRecord(o.daemon.clock.Now(), service, heard) {
		o.record.readForRequest(ctx)
		if began, known := o.keeper.Find(o.daemon.clock.Now(), id); known {
			found.began, found.by = began, foundOn(route, began, foundRecorded)
			return found
		}
	}
	software, known := o.keeper.Decide(o.daemon.clock.Now(), service, heard, found.confirmed == byStore)
	found.began, found.by = resumption.Began{Service: service, Software: software}, foundNowhere
	if known {
		found.by = foundOnlyVersion
	}
	return found
}

// foundOn returns how the origin of a stream was found, unless the route does not lead there.
func foundOn(route *fleet.Route, began resumption.Began, by string) string {
	if !leadsTo(route, began.Service) {
		return foundMoved
	}
	return by
}

func leadsTo(route *fleet.Route, service string) bool {
	for _, target := range route.Targets {
		if target.Service == service {
			return true
		}
	}
	return false
}

// namedAnswer is the answer of a daemon, or nil if it gave none.
type namedAnswer struct {
	from   string
	answer *resumption.Answer
}

// ask asks other daemons at once and returns their answers, until one knows: its answer is the last one, and toldBy its name.
func (o *origins) ask(ctx context.Context, names []string, id, service string) (heard []*resumption.Answer, toldBy string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan namedAnswer, len(names))
	for _, name := range names {
		go func() { answers <- namedAnswer{name, o.askOne(ctx, name, id, service)} }()
	}
	for range names {
		given := <-answers
		if given.answer == nil {
			continue
		}
		heard = append(heard, given.answer)
		if given.answer.Known {
			return heard, given.from
		}
	}
	return heard, ""
}

// askOne returns the answer of one daemon, or nil.
func (o *origins) askOne(ctx context.Context, name, id, service string) *resumption.Answer {
	if o.calls.Rests(name) {
		return nil
	}
	answer, answered := o.calls.Ask(ctx, originTimeout, func(call uint64) {
		o.send(name, &resumption.Message{Question: &resumption.Question{ID: call, Stream: id, Service: service}})
	})
	if !answered && ctx.Err() == nil {
		o.calls.Rest(name, originRest)
	}
	return answer
}

// receive takes in what another daemon says.
func (o *origins) receive(from string, message *resumption.Message) {
	now := o.daemon.clock.Now()
	switch {
	case message.Question != nil:
		o.send(from, &resumption.Message{Answer: o.keeper.Answer(now, message.Question)})
	case message.Answer != nil:
		o.calls.Answered(message.Answer.ID, message.Answer)
	case message.Record != nil:
		o.record.accept(now, message.Record)
	default:
		o.keeper.Merge(now, message.Streams)
	}
}

// tick takes in what the control duty knows of servers.
func (o *origins) tick(now time.Time) {
	synced := o.daemon.node.Synced() && o.daemon.node.ReceivesInstanceChanges(now)
	if synced {
		o.keeper.MarkSynced(now)
	}
	if !synced || o.daemon.node.StoreUnavailable() {
		o.keeper.MarkStoreAway(now)
	}
	if now.Sub(o.observedAt) < originsEvery {
		return
	}
	o.observedAt = now
	// The view holds all that the node had heard of at the last look.
	heardAt := o.heardAt
	o.heardAt = o.daemon.node.InstancesAt()
	view := o.daemon.gateway.View()
	if view.Configuration() == nil {
		return
	}
	span := resumableSpan(view.Configuration())
	o.keeper.SetVersionWindow(now, span)
	o.targets.update(now, span, view.Configuration())
	for service, sharesRoute := range o.targets.services() {
		tells := o.keeper.Observe(now, service, softwareOf(view.Instances(service)), sharesRoute)
		if tells != nil {
			o.daemon.log.add("origin", "Streams told to other daemons.", "service", service, "shares_route", sharesRoute, "told_daemons", len(tells))
		}
		o.tell(tells)
	}
	o.check.observed.Store(&heardAt)
	o.record.send(now)
}

// resumableSpan returns for how long after a stream began its client may take it up.
func resumableSpan(configuration *fleet.Configuration) time.Duration {
	span := time.Duration(0)
	for i := range configuration.Routes {
		if route := &configuration.Routes[i]; route.Resumable {
			span = max(span, waitsPerTimeout*route.Timeout)
		}
	}
	return span
}

// softwareOf lists the versions of instances.
func softwareOf(instances []*fleet.Instance) []string {
	var versions []string
	last := ""
	for _, instance := range instances {
		// Most have the version of the one before.
		if len(versions) > 0 && instance.Software == last {
			continue
		}
		last = instance.Software
		versions = append(versions, last)
	}
	return versions
}

// forget drops what no longer counts and sets the gauges.
func (o *origins) forget(now time.Time) {
	o.keeper.Prune(now)
	o.record.recorder.Prune(now)
	counts := o.keeper.Counts()
	o.daemon.metrics.streamsKept.Update(float64(counts.Streams))
	o.daemon.metrics.mixedServices.Update(float64(counts.MixedServices))
}

// setMembers takes in the other daemons that live.
func (o *origins) setMembers(members []member.Member) {
	self := o.daemon.current().Name
	others := make([]resumption.Daemon, 0, len(members))
	for i := range members {
		if members[i].State != member.Dead && members[i].Name != self {
			others = append(others, resumption.Daemon{Name: members[i].Name, Zone: members[i].Zone})
		}
	}
	o.keeper.SetDaemons(others)
	o.record.recorder.SetDaemons(others)
}
