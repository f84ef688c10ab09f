package operator

import (
	"context"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/api"
)

// timeNow is the clock of changes. It guides minimum stay only.
func timeNow() time.Time { return time.Now() }

// defaultReplicas keeps a model reachable through the loss of one back end.
const defaultReplicas = 2

func (e *Executor) create(ctx context.Context, command *Create) (*Result, error) {
	switch {
	case command.Model != nil:
		return e.createModel(ctx, command.Model)
	case command.Version != nil:
		return e.createVersion(ctx, command.Version)
	case command.Adapter != nil:
		return e.createAdapter(ctx, command.Adapter)
	case command.Tenant != nil:
		return e.createTenant(ctx, command.Tenant)
	case command.Key != nil:
		return e.createKey(ctx, command.Key)
	default:
		return e.createService(ctx, command.Service)
	}
}

func parseOptionalPriority(text string) (api.Priority, error) {
	if text == "" {
		return api.PriorityPaid, nil
	}
	priority, err := api.ParsePriority(text)
	if err != nil {
		return 0, ErrRefused.Wrap(err)
	}
	return priority, nil
}

func (e *Executor) createModel(ctx context.Context, command *CreateModel) (*Result, error) {
	size, err := parseSize(command.Size)
	if err != nil {
		return nil, err
	}
	priority, err := parseOptionalPriority(command.Priority)
	if err != nil {
		return nil, err
	}
	model := api.Model{
		Name: command.Name, Priority: priority, Serving: command.Version,
		Versions: []api.Version{{Name: command.Version, Bytes: size}}, MinReplicas: defaultReplicas,
	}
	if command.Replicas != nil {
		model.MinReplicas = int(*command.Replicas)
	}
	if command.Max != nil {
		model.MaxReplicas = int(*command.Max)
	}
	if err := model.Validate(); err != nil {
		return nil, ErrRefused.Wrap(err)
	}
	key := api.Key{Kind: api.KindModel, Name: command.Name}
	object, err := change(ctx, e, key, 0, func(value *api.Model, exists bool) error {
		if exists {
			return ErrRefused.New("model %s exists already", command.Name)
		}
		*value = model
		return nil
	})
	if err != nil {
		return nil, err
	}
	return done(object, "model %s is created", command.Name), nil
}

func (e *Executor) createVersion(ctx context.Context, command *CreateVersion) (*Result, error) {
	size, err := parseSize(command.Size)
	if err != nil {
		return nil, err
	}
	object, err := e.changeModel(ctx, command.Model, 0, func(model *api.Model) error {
		for _, known := range model.Versions {
			if known.Name == command.Name {
				return ErrRefused.New("model %s has a version %s already", command.Model, command.Name)
			}
		}
		model.Versions = append(model.Versions, api.Version{Name: command.Name, Bytes: size})
		return nil
	})
	if err != nil {
		return nil, err
	}
	return done(object, "version %s of model %s is created", command.Name, command.Model), nil
}

func (e *Executor) createAdapter(ctx context.Context, command *CreateAdapter) (*Result, error) {
	size, err := parseSize(command.Size)
	if err != nil {
		return nil, err
	}
	object, err := e.changeModel(ctx, command.Model, 0, func(model *api.Model) error {
		if model.HasAdapter(command.Name) {
			return ErrRefused.New("model %s has an adapter %s already", command.Model, command.Name)
		}
		model.Adapters = append(model.Adapters, api.Adapter{Name: command.Name, Bytes: size})
		return nil
	})
	if err != nil {
		return nil, err
	}
	return done(object, "adapter %s on model %s is created", command.Name, command.Model), nil
}

func (e *Executor) createService(ctx context.Context, command *CreateService) (*Result, error) {
	priority, err := parseOptionalPriority(command.Priority)
	if err != nil {
		return nil, err
	}
	for _, machine := range command.Machines {
		if err := e.checkEngine(machine); err != nil {
			return nil, err
		}
	}
	key := api.Key{Kind: api.KindService, Name: command.Name}
	object, err := change(ctx, e, key, 0, func(value *api.Service, exists bool) error {
		if exists {
			return ErrRefused.New("service %s exists already", command.Name)
		}
		*value = api.Service{Name: command.Name, Priority: priority, Machines: command.Machines}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return done(object, "service %s is created", command.Name), nil
}

func (e *Executor) delete(ctx context.Context, command *Delete) (*Result, error) {
	if command.Key != nil {
		return e.deleteKey(ctx, command.Key)
	}
	switch command.What {
	case "tenant":
		return e.deleteObject(ctx, api.KindTenant, "tenant", command.Name)
	case "adapter":
		return e.deleteAdapter(ctx, command)
	case "service":
		return e.deleteObject(ctx, api.KindService, "service", command.Name)
	default:
		return e.deleteObject(ctx, api.KindModel, "model", command.Name)
	}
}

func (e *Executor) deleteObject(ctx context.Context, kind api.Kind, what, name string) (*Result, error) {
	key := api.Key{Kind: kind, Name: name}
	current, err := e.Platform.Get(ctx, key)
	if err != nil {
		return nil, ErrUnavailable.New("%s was not deleted: %v", key, err)
	}
	if current.Version == 0 || current.Deleted {
		return nil, e.unknown(kind, what, name)
	}
	object, err := e.put(ctx, api.Object{Key: key, Deleted: true}, current.Version)
	if err != nil {
		return nil, err
	}
	return done(object, "%s %s is deleted", what, name), nil
}

func (e *Executor) deleteAdapter(ctx context.Context, command *Delete) (*Result, error) {
	if command.Model == "" {
		return nil, ErrSyntax.New("say which model: delete adapter %s on MODEL", command.Name)
	}
	object, err := e.changeModel(ctx, command.Model, 0, func(model *api.Model) error {
		before := len(model.Adapters)
		model.Adapters = slices.DeleteFunc(model.Adapters, func(adapter api.Adapter) bool { return adapter.Name == command.Name })
		if len(model.Adapters) == before {
			return ErrRefused.New("model %s has no adapter %s", command.Model, command.Name)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return done(object, "adapter %s on model %s is deleted", command.Name, command.Model), nil
}
