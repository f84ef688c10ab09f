package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/exchange"
	"github.com/wheatweir/wheatweir/ledger"
	"github.com/wheatweir/wheatweir/objectstore"
)

// keyLedger claims request keys. Each shard in use has a goroutine that makes
// its calls, one at a time.
type keyLedger struct {
	platform objectstore.Client
	timeout  time.Duration
	holder   string
	next     atomic.Uint64

	mutex   sync.Mutex
	shards  map[string]*shardDuty
	started chan *shardDuty
}

type shardDuty struct {
	mutex sync.Mutex
	shard *ledger.Shard
	// waiting holds the receivers of answers by holder.
	waiting map[string]chan ledger.Answer
	wake    chan struct{}
}

func newKeyLedger(client objectstore.Client, timeout time.Duration, name string) *keyLedger {
	return &keyLedger{
		platform: client,
		timeout:  timeout,
		holder:   fmt.Sprintf("%s/%d", name, time.Now().UnixMilli()),
		shards:   map[string]*shardDuty{},
		started:  make(chan *shardDuty, ledger.ShardCount),
	}
}

// run starts the goroutines of shards until ctx ends, and waits for them.
func (l *keyLedger) run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case duty := <-l.started:
			group.Go(func() { l.runShard(ctx, duty) })
		}
	}
}

// claim claims a key and waits for the answer, until ctx ends.
func (l *keyLedger) claim(ctx context.Context, key string) exchange.Claim {
	duty := l.duty(ledger.ShardOf(key))
	holder := fmt.Sprintf("%s/%d", l.holder, l.next.Add(1))
	answered := make(chan ledger.Answer, 1)
	duty.mutex.Lock()
	duty.shard.Add(key, holder, time.Now().Add(l.timeout))
	duty.waiting[holder] = answered
	duty.mutex.Unlock()
	duty.signal()
	select {
	case answer := <-answered:
		return claimOf(answer)
	case <-ctx.Done():
		return exchange.ClaimUnavailable
	}
}

func claimOf(answer ledger.Answer) exchange.Claim {
	switch answer {
	case ledger.Granted:
		return exchange.ClaimGranted
	case ledger.Used:
		return exchange.ClaimUsed
	default:
		return exchange.ClaimUnavailable
	}
}

func (l *keyLedger) duty(key api.Key) *shardDuty {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	duty := l.shards[key.Name]
	if duty == nil {
		duty = &shardDuty{
			shard:   ledger.NewShard(key, ledger.DefaultSettings()),
			waiting: map[string]chan ledger.Answer{},
			wake:    make(chan struct{}, 1),
		}
		l.shards[key.Name] = duty
		l.started <- duty
	}
	return duty
}

func (d *shardDuty) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// tell passes answers on. The mutex must be held.
func (d *shardDuty) tell(ended []ledger.Ended) {
	for _, end := range ended {
		if receiver := d.waiting[end.Holder]; receiver != nil {
			receiver <- end.Answer
			delete(d.waiting, end.Holder)
		}
	}
}

// expiryScan is how often a shard looks for claims past their deadline while a
// call to the platform is under way.
const expiryScan = 200 * time.Millisecond

func (l *keyLedger) runShard(ctx context.Context, duty *shardDuty) {
	answers := make(chan func(), 1)
	ticker := time.NewTicker(expiryScan)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			duty.abandonAll()
			return
		case <-duty.wake:
		case <-ticker.C:
		case take := <-answers:
			take()
		}
		duty.mutex.Lock()
		action, ended := duty.shard.Next(time.Now())
		duty.tell(ended)
		duty.mutex.Unlock()
		if action.Kind != ledger.ActionNone {
			go l.call(ctx, duty, action, answers)
		}
	}
}

// abandonAll ends all waiting claims when the daemon stops.
func (d *shardDuty) abandonAll() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for holder, receiver := range d.waiting {
		receiver <- ledger.Unavailable
		delete(d.waiting, holder)
	}
}

// call makes one call to the platform and hands its answer to the shard's
// goroutine. At most one call of a shard is under way, so the send never waits.
func (l *keyLedger) call(ctx context.Context, duty *shardDuty, action ledger.Action, answers chan<- func()) {
	var object api.Object
	var err error
	if action.Kind == ledger.ActionRead {
		object, err = l.platform.Get(ctx, action.Object.Key)
	} else {
		object, err = l.platform.Put(ctx, action.Object, action.IfVersion)
	}
	answers <- func() {
		duty.mutex.Lock()
		defer duty.mutex.Unlock()
		duty.tell(duty.shard.Answered(time.Now(), action.Kind, ledgerOutcome(err), object))
	}
}

func ledgerOutcome(err error) ledger.Outcome {
	switch {
	case err == nil:
		return ledger.CallOK
	case objectstore.ErrConflict.Has(err):
		return ledger.CallConflict
	case objectstore.ErrNotDone.Has(err):
		return ledger.CallNotDone
	default:
		return ledger.CallUnknown
	}
}
