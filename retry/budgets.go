package retry

import "sync"

// Budgets holds one Budget for each service, so that the traffic of one service does not pay for retries at another. It is safe
// for concurrent use.
type Budgets struct {
	mutex     sync.Mutex
	settings  Settings
	byService map[string]*Budget
}

// NewBudgets returns budgets with the same settings.
func NewBudgets(settings Settings) *Budgets {
	return &Budgets{settings: settings, byService: map[string]*Budget{}}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.byService[service]
	if known == nil {
		known = NewBudget(b.settings)
		b.byService[service] = known
	}
	return known
}

// Set changes the settings of all budgets.
func (b *Budgets) Set(settings Settings) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.settings = settings
	for _, budget := range b.byService {
		budget.Set(settings)
	}
}

// Prune removes the budgets of services that no longer exist.
func (b *Budgets) Prune(exists func(service string) bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for service := range b.byService {
		if !exists(service) {
			delete(b.byService, service)
		}
	}
}
