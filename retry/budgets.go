package retry

import "sync"

// Budgets holds one Budget for each service, so that the traffic of one service does not pay for retries at another. It is safe
// for concurrent use.
type Budgets struct {
	mutex     sync.Mutex
	share     float64
	limit     float64
	first     float64
	byService map[string]*Budget
}

// NewBudgets returns budgets that each begin with limit tokens, also if the limit is raised later: a process that starts again
// and again must not spend a full budget each time. Share and limit are those of each service; see NewBudget.
func NewBudgets(share, limit float64) *Budgets {
	return &Budgets{share: share, limit: limit, first: limit, byService: map[string]*Budget{}}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.byService[service]
	if known == nil {
		known = &Budget{tokens: min(b.first, b.limit), share: b.share, limit: b.limit}
		b.byService[service] = known
	}
	return known
}

// SetLimit changes the limit of each service.
func (b *Budgets) SetLimit(limit float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limit = limit
	for _, budget := range b.byService {
		budget.SetLimit(limit)
	}
}

// SetShare changes the number of tokens that each success adds.
func (b *Budgets) SetShare(share float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.share = share
	for _, budget := range b.byService {
		budget.SetShare(share)
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
