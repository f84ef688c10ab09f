package operator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/nearest"
	"github.com/wheatweir/wheatweir/objectstore"
	"github.com/wheatweir/wheatweir/placement"
	"github.com/wheatweir/wheatweir/retry"
)

// System is the daemon as commands see it.
type System interface {
	// Rows answers a query by the name of what is listed.
	Rows(what string) (*Result, error)
	// Decisions returns the recent decisions about a named thing, or all.
	Decisions(name string) *Result
	// Names returns the known names of a kind of object.
	Names(kind api.Kind) []string
	// Learned tells the daemon of an object that was just written, so that
	// the change is in force here at once.
	Learned(object api.Object)
}

// Executor runs commands.
type Executor struct {
	System   System
	Platform objectstore.Client
	// Writer names this daemon in the objects that it writes.
	Writer string

	writes atomic.Uint64
}

// Execute runs a command. May says whether the caller may make changes.
func (e *Executor) Execute(ctx context.Context, command *Command, may bool) (*Result, error) {
	switch {
	case command.Help:
		return &Result{Message: HelpText}, nil
	case command.Show != nil:
		return e.show(command.Show)
	case command.Why != nil:
		return e.System.Decisions(command.Why.Name), nil
	case !may:
		return nil, ErrCredential.New("changes need the operators' credential")
	case command.Create != nil:
		return e.create(ctx, command.Create)
	case command.Set != nil:
		return e.set(ctx, command.Set)
	case command.Replace != nil:
		return e.replace(ctx, command.Replace)
	case command.Pin != nil:
		return e.pin(ctx, command.Pin)
	case command.Unpin != nil:
		return e.unpin(ctx, command.Unpin)
	case command.Drain != nil:
		return e.drain(ctx, command.Drain.BackEnd, true)
	case command.Undrain != nil:
		return e.drain(ctx, command.Undrain.BackEnd, false)
	case command.Move != nil:
		return e.move(ctx, command.Move)
	default:
		return e.delete(ctx, command.Delete)
	}
}

func (e *Executor) show(query *Show) (*Result, error) {
	result, err := e.System.Rows(query.What)
	if err != nil {
		return nil, err
	}
	return result, refine(result, query)
}

// change reads an object, changes its value and writes it back on condition
// that nobody else wrote in between. Mutate gets the value, or the zero value
// if the object does not exist, and refuses by an error.
func change[T any](ctx context.Context, e *Executor, key api.Key, ifVersion uint64, mutate func(value *T, exists bool) error) (api.Object, error) {
	current, err := e.Platform.Get(ctx, key)
	if err != nil {
		return api.Object{}, ErrUnavailable.New("%s was not changed: %v", key, err)
	}
	if ifVersion != 0 && current.Version != ifVersion {
		return api.Object{}, ErrConflict.New("%s is at version %d by %s, not %d; nothing was changed", key, current.Version, current.Writer, ifVersion)
	}
	var value T
	exists := current.Version != 0 && !current.Deleted
	if exists {
		if value, err = api.Decode[T](current); err != nil {
			return api.Object{}, err
		}
	}
	if err := mutate(&value, exists); err != nil {
		return api.Object{}, err
	}
	return e.put(ctx, api.Object{Key: key, Value: api.Encode(value)}, current.Version)
}

// put writes an object and settles a lost answer by reading back.
func (e *Executor) put(ctx context.Context, object api.Object, ifVersion uint64) (api.Object, error) {
	object.Writer = "operator at " + e.Writer
	object.WriteID = fmt.Sprintf("%s/operator/%d/%d", e.Writer, ifVersion, e.writes.Add(1))
	written, err := e.putWithRetry(ctx, object, ifVersion)
	switch {
	case err == nil:
		e.System.Learned(written)
		return written, nil
	case objectstore.ErrConflict.Has(err):
		e.System.Learned(written)
		return api.Object{}, ErrConflict.New("%s was changed by %s to version %d in the meantime; nothing of this command was done", object.Key, written.Writer, written.Version)
	case objectstore.ErrNotDone.Has(err):
		return api.Object{}, ErrUnavailable.New("%s was not changed: %v", object.Key, err)
	}
	return e.settle(ctx, object, err)
}

const (
	// refusedAttempts is how often a write that the platform refused is made.
	refusedAttempts = 6
	refusedBase     = 200 * time.Millisecond
	refusedLimit    = 2 * time.Second
)

// putWithRetry makes a write again while the platform refuses it, such as when
// the daemons use up its rate.
func (e *Executor) putWithRetry(ctx context.Context, object api.Object, ifVersion uint64) (api.Object, error) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for attempt := 0; ; attempt++ {
		written, err := e.Platform.Put(ctx, object, ifVersion)
		if !objectstore.ErrNotDone.Has(err) || attempt+1 >= refusedAttempts {
			return written, err
		}
		select {
		case <-time.After(retry.Backoff(random, attempt, refusedBase, refusedLimit)):
		case <-ctx.Done():
			return written, err
		}
	}
}

func (e *Executor) settle(ctx context.Context, object api.Object, cause error) (api.Object, error) {
	found, err := e.Platform.Get(ctx, object.Key)
	if err != nil {
		return api.Object{}, ErrUnavailable.New("%s may have been changed, the answer was lost: %v", object.Key, cause)
	}
	e.System.Learned(found)
	if found.WriteID == object.WriteID {
		return found, nil
	}
	return api.Object{}, ErrUnavailable.New("%s was not changed so far, but the write may still arrive: %v", object.Key, cause)
}

func done(object api.Object, format string, arguments ...any) *Result {
	message := fmt.Sprintf(format, arguments...)
	return &Result{Message: fmt.Sprintf("%s (%s version %d)", message, object.Key, object.Version), Version: object.Version}
}

// unknown refuses a name that does not exist and offers the nearest that does.
func (e *Executor) unknown(kind api.Kind, what, name string) error {
	if closest := nearest.Match(name, e.System.Names(kind)); closest != "" {
		return ErrRefused.New("no %s %q; did you mean %q?", what, name, closest)
	}
	return ErrRefused.New("no %s %q", what, name)
}

func (e *Executor) changeModel(ctx context.Context, name string, ifVersion uint64, mutate func(*api.Model) error) (api.Object, error) {
	key := api.Key{Kind: api.KindModel, Name: name}
	return change(ctx, e, key, ifVersion, func(model *api.Model, exists bool) error {
		if !exists {
			return e.unknown(api.KindModel, "model", name)
		}
		if err := mutate(model); err != nil {
			return err
		}
		if err := model.Validate(); err != nil {
			return ErrRefused.Wrap(err)
		}
		return nil
	})
}

func (e *Executor) set(ctx context.Context, command *Set) (*Result, error) {
	if command.Tenant != nil {
		return e.setTenant(ctx, command.Tenant)
	}
	return e.setModel(ctx, command.Model)
}

func (e *Executor) setModel(ctx context.Context, command *SetModel) (*Result, error) {
	object, err := e.changeModel(ctx, command.Model, uint64(command.Version), func(model *api.Model) error {
		if command.Property == "priority" {
			priority, err := api.ParsePriority(command.Value)
			if err != nil {
				return ErrRefused.Wrap(err)
			}
			model.Priority = priority
			return nil
		}
		count, err := strconv.Atoi(command.Value)
		if err != nil {
			return ErrRefused.New("%s %q: give a whole number", command.Property, command.Value)
		}
		if command.Property == "replicas" {
			model.MinReplicas = count
		} else {
			model.MaxReplicas = count
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return done(object, "model %s: %s is now %s", command.Model, command.Property, command.Value), nil
}

func (e *Executor) replace(ctx context.Context, command *Replace) (*Result, error) {
	object, err := e.changeModel(ctx, command.Model, uint64(command.Version), func(model *api.Model) error {
		model.Serving = command.With
		return nil
	})
	if err != nil {
		return nil, err
	}
	return done(object, "model %s: version %s replaces the old one as its replicas come up", command.Model, command.With), nil
}

func (e *Executor) pin(ctx context.Context, command *Pin) (*Result, error) {
	if err := e.checkEngine(command.BackEnd); err != nil {
		return nil, err
	}
	object, err := e.changeModel(ctx, command.Model, 0, func(model *api.Model) error {
		if slices.Contains(model.Pins, command.BackEnd) {
			return ErrRefused.New("model %s is already pinned to %s", command.Model, command.BackEnd)
		}
		model.Pins = append(model.Pins, command.BackEnd)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return done(object, "model %s is pinned to %s", command.Model, command.BackEnd), nil
}

func (e *Executor) unpin(ctx context.Context, command *Pin) (*Result, error) {
	object, err := e.changeModel(ctx, command.Model, 0, func(model *api.Model) error {
		index := slices.Index(model.Pins, command.BackEnd)
		if index < 0 {
			return ErrRefused.New("model %s is not pinned to %s", command.Model, command.BackEnd)
		}
		model.Pins = slices.Delete(model.Pins, index, index+1)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return done(object, "model %s is no longer pinned to %s", command.Model, command.BackEnd), nil
}

func (e *Executor) checkEngine(name string) error {
	if slices.Contains(e.System.Names(api.KindMachine), name) {
		return nil
	}
	return e.unknown(api.KindMachine, "back end", name)
}

func (e *Executor) drain(ctx context.Context, name string, drained bool) (*Result, error) {
	if err := e.checkEngine(name); err != nil {
		return nil, err
	}
	key := api.Key{Kind: api.KindPlacement, Name: name}
	object, err := change(ctx, e, key, 0, func(record *api.Placement, _ bool) error {
		record.BackEnd = name
		if record.Drained == drained {
			return ErrRefused.New("back end %s: drained is already %v", name, drained)
		}
		record.Drained = drained
		return nil
	})
	if err != nil {
		return nil, err
	}
	return done(object, "back end %s: drained is now %v", name, drained), nil
}

// move marks the replica on the old back end as moving and pins nothing: the
// new replica is reserved first, and the planner releases the old one when the
// new one is observed to serve.
func (e *Executor) move(ctx context.Context, command *Move) (*Result, error) {
	for _, name := range []string{command.From, command.To} {
		if err := e.checkEngine(name); err != nil {
			return nil, err
		}
	}
	if command.From == command.To {
		return nil, ErrRefused.New("back end %s is both old and new", command.From)
	}
	from := api.Key{Kind: api.KindPlacement, Name: command.From}
	source, err := e.Platform.Get(ctx, from)
	if err != nil {
		return nil, ErrUnavailable.New("nothing was moved: %v", err)
	}
	entries, err := movableEntries(source, command)
	if err != nil {
		return nil, err
	}
	if _, err := e.reserve(ctx, command, entries); err != nil {
		return nil, err
	}
	object, err := change(ctx, e, from, source.Version, func(record *api.Placement, _ bool) error {
		next, ok := placement.Apply(*record, 0, placement.Operation{
			Kind: placement.OperationMarkMoving, Artifact: entries[0].Artifact.Base(), Reason: "moved by an operator",
		}, timeNow())
		if !ok {
			return ErrRefused.New("the replica on %s is already moving", command.From)
		}
		*record = next
		return nil
	})
	if err != nil {
		return nil, ErrConflict.New("a replica on %s was reserved, but the one on %s was not marked to go: %v", command.To, command.From, err)
	}
	return done(object, "model %s moves from %s to %s", command.Model, command.From, command.To), nil
}

func movableEntries(source api.Object, command *Move) ([]api.PlacementEntry, error) {
	if source.Version == 0 || source.Deleted {
		return nil, ErrRefused.New("back end %s holds no model", command.From)
	}
	record, err := api.Decode[api.Placement](source)
	if err != nil {
		return nil, err
	}
	var entries []api.PlacementEntry
	for _, entry := range record.Entries {
		if entry.Artifact.Model == command.Model && entry.Phase == api.PhaseHeld {
			entry.Anchor = true
			entry.Moving = false
			entries = append(entries, entry)
		}
	}
	if len(entries) == 0 {
		return nil, ErrRefused.New("model %s has no replica on back end %s", command.Model, command.From)
	}
	return entries, nil
}

func (e *Executor) reserve(ctx context.Context, command *Move, entries []api.PlacementEntry) (api.Object, error) {
	machine, err := e.Platform.Get(ctx, api.Key{Kind: api.KindMachine, Name: command.To})
	if err != nil {
		return api.Object{}, ErrUnavailable.New("nothing was moved: %v", err)
	}
	engine, err := api.Decode[api.Machine](machine)
	if err != nil {
		return api.Object{}, err
	}
	to := api.Key{Kind: api.KindPlacement, Name: command.To}
	return change(ctx, e, to, 0, func(record *api.Placement, _ bool) error {
		record.BackEnd = command.To
		if record.Emptying() {
			return ErrRefused.New("back end %s is to be emptied", command.To)
		}
		next, ok := placement.Apply(*record, engine.MemoryBytes, placement.Operation{
			Kind: placement.OperationAdd, Artifact: entries[0].Artifact.Base(), Entries: entries, Reason: "moved by an operator",
		}, timeNow())
		if !ok {
			free := engine.MemoryBytes - record.Reserved()
			return ErrRefused.New("back end %s holds the model already or has too little room (%s free)", command.To, FormatSize(free))
		}
		*record = next
		return nil
	})
}
