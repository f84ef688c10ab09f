package entry

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/quarantine"
)

// quarantineKeeper tells the log of contents that run on servers that crash. It implements
// gateway.Quarantine.
type quarantineKeeper struct {
	hasher *quarantine.Hasher
	watch  *crashWatch
}

func newQuarantineKeeper(d *Daemon) *quarantineKeeper {
	k := &quarantineKeeper{hasher: quarantine.NewHasher(d.current().DeploymentKey), watch: newCrashWatch()}
	k.watch.refuses = d.upstream.Refuses
	k.watch.crashed = func(string, []quarantine.Digest) {}
	k.watch.log = func(text string, fields ...any) { d.log.add("quarantine", text, fields...) }
	return k
}

// Suspects implements gateway.Quarantine.
func (k *quarantineKeeper) Suspects() bool { return false }

// Digest implements gateway.Quarantine.
func (k *quarantineKeeper) Digest(content *quarantine.Content) quarantine.Digest {
	return k.hasher.Sum(content)
}

// HeldUntil implements gateway.Quarantine.
func (k *quarantineKeeper) HeldUntil(quarantine.Digest) time.Time { return time.Time{} }

// Broke implements gateway.Quarantine.
func (k *quarantineKeeper) Broke(instance *fleet.Instance, content quarantine.Digest) {
	k.watch.broke(time.Now(), instance, content)
}

// Served implements gateway.Quarantine.
func (k *quarantineKeeper) Served(quarantine.Digest) {}
