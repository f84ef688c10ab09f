package scale

import (
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/lab/sim"
	"github.com/wheatweir/wheatweir/member"
)

// deadAccordingTo counts the daemons that one daemon holds for dead although
// they live, or the other way round if live is false.
func (m *measurement) deadAccordingTo(d *sim.Daemon, live bool) int {
	alive := map[string]bool{}
	for _, other := range m.world.Daemons {
		alive[other.Name] = other.Alive
	}
	count := 0
	for _, known := range d.Node().Members() {
		if (known.State == member.Dead) == live && alive[known.Name] == live {
			count++
		}
	}
	return count
}

// until runs the world until a condition holds and returns how long that took.
func (m *measurement) until(what string, holds func() bool) (time.Duration, error) {
	began := m.world.Now
	for !holds() {
		if m.world.Now.Sub(began) > phaseLimit {
			return 0, ErrScale.New("%s: not within %s", what, phaseLimit)
		}
		if err := m.advance(sampleEvery); err != nil {
			return 0, err
		}
	}
	return m.world.Now.Sub(began), nil
}

// inForce reports whether every live daemon has at least a version.
func (m *measurement) inForce(key api.Key, version uint64) bool {
	for _, d := range m.world.Daemons {
		if d.Alive && d.Node().Store().Version(key) < version {
			return false
		}
	}
	return true
}

// changeOnce writes one configuration and waits until it is in force.
func (m *measurement) changeOnce(index int) (time.Duration, error) {
	key := api.Key{Kind: api.KindModel, Name: modelName(index % m.options.Models)}
	before := m.world.Platform.Core.Peek(key).Version
	m.writeModel(index%m.options.Models, api.Priority(index%2))
	accepted, err := m.until("a change is accepted", func() bool { return m.world.Platform.Core.Peek(key).Version > before })
	if err != nil {
		return 0, err
	}
	version := m.world.Platform.Core.Peek(key).Version
	took, err := m.until("a change is in force", func() bool { return m.inForce(key, version) })
	return accepted + took, err
}

// change measures how long configuration changes take to be in force.
func (m *measurement) change() error {
	var times []float64
	for index := range changes {
		took, err := m.changeOnce(index)
		if err != nil {
			return err
		}
		times = append(times, took.Seconds())
		if err := m.advance(changeEvery); err != nil {
			return err
		}
	}
	m.result.ConfigInForce = percentilesOf(times)
	return nil
}

// cutRegion cuts the last region off, makes a change meanwhile, and measures
// how long after the cut has healed it is in force everywhere.
func (m *measurement) cutRegion() error {
	if m.options.Regions < 2 {
		return nil
	}
	_, region := m.zone(m.options.Zones - 1)
	w := m.world
	w.Network.Cut("region-1", region)
	w.Network.Cut(region, "region-1")
	if err := m.advance(cutTime / 2); err != nil {
		return err
	}
	key := api.Key{Kind: api.KindModel, Name: modelName(0)}
	m.writeModel(0, api.PriorityFree)
	if err := m.advance(cutTime / 2); err != nil {
		return err
	}
	version := w.Platform.Core.Peek(key).Version
	w.Network.Heal("region-1", region)
	w.Network.Heal(region, "region-1")
	took, err := m.until("a change is in force after a region's return", func() bool { return m.inForce(key, version) })
	if err != nil {
		return err
	}
	m.result.ConfigAfterCut = took.Seconds()
	took, err = m.until("the membership is whole after a region's return", func() bool { return m.falseDeaths() == 0 })
	m.result.MembershipAfterCut = took.Seconds()
	return err
}

// killDaemons measures how long it takes until every live daemon holds a
// killed one for dead.
func (m *measurement) killDaemons() error {
	var times []float64
	for index := range min(killed, m.options.Daemons/4+1) {
		victim := m.world.Daemons[(index*7+1)%len(m.world.Daemons)]
		victim.Kill()
		took, err := m.until("a death is known", func() bool { return m.knownDead(victim) })
		if err != nil {
			return err
		}
		times = append(times, took.Seconds())
		victim.Start()
		if err := m.advance(20 * time.Second); err != nil {
			return err
		}
	}
	m.result.Detection = percentilesOf(times)
	return nil
}

func (m *measurement) knownDead(victim *sim.Daemon) bool {
	for _, d := range m.world.Daemons {
		if !d.Alive {
			continue
		}
		for _, known := range d.Node().Members() {
			if known.Name == victim.Name && known.State != member.Dead {
				return false
			}
		}
	}
	return true
}

// loseZone kills all daemons and engines of a zone, and measures the longest
// time that a model was on no live engine and how long it takes until all are
// held twice again.
func (m *measurement) loseZone() error {
	zone, _ := m.zone(m.options.Zones - 1)
	for _, d := range m.world.Daemons {
		if d.Zone == zone {
			d.Kill()
		}
	}
	for index, e := range m.world.Engines {
		if in, _ := m.zone(index); in == zone {
			e.Kill()
		}
	}
	m.result.UnreachableAfterZoneLoss = m.shortModels(1)
	writes := m.world.Platform.Core.Counts.Writes
	took, err := m.until("models are held twice after a zone's loss", func() bool { return m.shortModels(2) == 0 })
	m.result.ZoneRecovery = took.Seconds()
	m.result.ZoneRecoveryWrites = float64(m.world.Platform.Core.Counts.Writes-writes) / max(took.Seconds(), 1)
	if err != nil {
		return err
	}
	return m.restoreZone(zone)
}

// restoreZone brings a lost zone back empty and lets it settle.
func (m *measurement) restoreZone(zone string) error {
	for _, d := range m.world.Daemons {
		if d.Zone == zone {
			d.Start()
		}
	}
	for index, e := range m.world.Engines {
		if in, _ := m.zone(index); in == zone {
			e.Start()
		}
	}
	return m.advance(restoreTime)
}

const restoreTime = 60 * time.Second
