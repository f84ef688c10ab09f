package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/exchange"
	"github.com/wheatweir/wheatweir/ledger"
)

// keyLedger drives the daemon's ledger shards in virtual time.
type keyLedger struct {
	daemon  *Daemon
	shards  map[string]*shardDuty
	holders int
}

type shardDuty struct {
	shard   *ledger.Shard
	waiting map[string]func(exchange.Claim)
}

func newKeyLedger(d *Daemon) *keyLedger {
	return &keyLedger{daemon: d, shards: map[string]*shardDuty{}}
}

var claimOf = map[ledger.Answer]exchange.Claim{
	ledger.Granted: exchange.ClaimGranted, ledger.Used: exchange.ClaimUsed, ledger.Unavailable: exchange.ClaimUnavailable,
}

func (l *keyLedger) claim(key string, answer func(exchange.Claim)) {
	w := l.daemon.world
	if w.Settings.Without == MechanismKeyClaim {
		answer(exchange.ClaimGranted)
		return
	}
	shardKey := ledger.ShardOf(key)
	duty := l.shards[shardKey.Name]
	if duty == nil {
		duty = &shardDuty{shard: ledger.NewShard(shardKey, ledger.DefaultSettings()), waiting: map[string]func(exchange.Claim){}}
		l.shards[shardKey.Name] = duty
	}
	l.holders++
	holder := fmt.Sprintf("%s/%d/%d", l.daemon.Name, l.daemon.boot, l.holders)
	timeout := l.daemon.plane.settings.ClaimTimeout
	duty.waiting[holder] = answer
	duty.shard.Add(key, holder, w.Now.Add(timeout))
	w.After(timeout+time.Millisecond, l.daemon.guard(func() { l.advance(duty) }))
	l.advance(duty)
}

func (l *keyLedger) advance(duty *shardDuty) {
	action, ended := duty.shard.Next(l.daemon.world.Now)
	l.tell(duty, ended)
	if action.Kind == ledger.ActionNone {
		return
	}
	l.daemon.world.After(0, l.daemon.guard(func() { l.call(duty, action) }))
}

func (l *keyLedger) call(duty *shardDuty, action ledger.Action) {
	w, name := l.daemon.world, l.daemon.Name
	answered := func(object api.Object, err control.CallError) {
		l.daemon.guard(func() {
			l.tell(duty, duty.shard.Answered(w.Now, action.Kind, ledgerOutcome[err], object))
			l.advance(duty)
		})()
	}
	if action.Kind == ledger.ActionRead {
		w.Platform.Read(name, action.Object.Key, answered)
		return
	}
	w.Platform.Write(name, action.Object, action.IfVersion, answered)
}

var ledgerOutcome = map[control.CallError]ledger.Outcome{
	control.CallOK: ledger.CallOK, control.CallConflict: ledger.CallConflict,
	control.CallNotDone: ledger.CallNotDone, control.CallUnknown: ledger.CallUnknown,
}

func (l *keyLedger) tell(duty *shardDuty, ended []ledger.Ended) {
	for _, end := range ended {
		answer := duty.waiting[end.Holder]
		delete(duty.waiting, end.Holder)
		answer(claimOf[end.Answer])
	}
}

func sortFlights(flights []*flight) {
	slices.SortFunc(flights, func(a, b *flight) int { return strings.Compare(a.call.ID, b.call.ID) })
}
