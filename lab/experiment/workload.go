package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/lab/sim"
)

// arrival is one request of the workload.
type arrival struct {
	at   time.Duration
	tier int
	call sim.Call
	zone string
}

const (
	// promptsPerModel is how many different prompts a model gets; repeated
	// ones hit the prefix cache.
	promptsPerModel = 40
	// outputSpread is the range of output lengths around the tier's mean.
	outputSpread = 0.5
)

// workload makes the requests of a run. All policies get the same.
func workload(c *Config, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 77))
	weights := modelWeights(c)
	var arrivals []arrival
	for at := time.Duration(0); ; {
		rate := c.rateAt(at)
		// A rate of zero is looked at again after a second.
		if rate <= 0 {
			at += time.Second
		} else {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		}
		if at >= c.Duration {
			return arrivals
		}
		if rate > 0 {
			arrivals = append(arrivals, newArrival(c, random, weights, at))
		}
	}
}

// rateAt returns the requests a second at a time, the burst included.
func (c *Config) rateAt(at time.Duration) float64 {
	return c.baseRateAt(at) + c.burstRateAt(at)
}

func (c *Config) baseRateAt(at time.Duration) float64 {
	factor := 1.0
	for _, phase := range c.Demand.Phases {
		if at >= phase.From {
			factor = phase.Factor
		}
	}
	return factor * c.Demand.PerSecond
}

// burstShare is the share of the base rate that a burst factor multiplies.
const burstShare = 0.1

func (c *Config) burstRateAt(at time.Duration) float64 {
	d := &c.Demand
	if d.BurstModel == 0 || at < d.BurstAt || at >= d.BurstAt+d.BurstFor {
		return 0
	}
	return d.PerSecond * burstShare * d.BurstFactor
}

// modelWeights returns the cumulated power law over models.
func modelWeights(c *Config) []float64 {
	weights := make([]float64, c.Models.Count)
	sum := 0.0
	for i := range weights {
		sum += math.Pow(float64(i+1), -c.Demand.Skew)
		weights[i] = sum
	}
	for i := range weights {
		weights[i] /= sum
	}
	return weights
}

func newArrival(c *Config, random *rand.Rand, weights []float64, at time.Duration) arrival {
	model := 0
	draw := random.Float64()
	for model < len(weights)-1 && weights[model] < draw {
		model++
	}
	burst := c.burstRateAt(at)
	if random.Float64() < burst/(burst+c.baseRateAt(at)) {
		model = c.Demand.BurstModel - 1
	}
	tier := pickTier(c, random.Float64())
	spread := 1 + outputSpread*(2*random.Float64()-1)
	call := sim.Call{
		Reference: api.ModelReference{Model: modelName(model)}, Priority: c.Tiers[tier].priority(), Deadline: c.Tiers[tier].Deadline,
		Prompt:       uint64(model)<<32 | uint64(random.IntN(promptsPerModel)),
		PromptTokens: c.Tiers[tier].PromptTokens, OutputTokens: max(1, int(spread*float64(c.Tiers[tier].OutputTokens))),
	}
	if adapters := adaptersOf(c, model); adapters > 0 && random.IntN(2) == 0 {
		call.Reference.Adapter = adapterName(random.IntN(adapters))
	}
	return arrival{at: at, tier: tier, call: call, zone: zoneName(random.IntN(c.World.Zones))}
}

func pickTier(c *Config, draw float64) int {
	for i := range c.Tiers {
		draw -= c.Tiers[i].Share
		if draw < 0 {
			return i
		}
	}
	return len(c.Tiers) - 1
}

func modelName(index int) string   { return fmt.Sprintf("model-%d", index+1) }
func adapterName(index int) string { return fmt.Sprintf("adapter-%d", index+1) }
func zoneName(index int) string    { return fmt.Sprintf("zone-%d", index+1) }

// adaptersOf spreads the adapters evenly over the models.
func adaptersOf(c *Config, model int) int {
	count := c.Models.Adapters / c.Models.Count
	if model < c.Models.Adapters%c.Models.Count {
		count++
	}
	return count
}

// newModel returns the configuration of one model.
func newModel(c *Config, index, replicas int) api.Model {
	bytes := int64(c.Models.SizeGiB) << 30
	model := api.Model{
		Name: modelName(index), Priority: api.PriorityPaid, Serving: "v1", MinReplicas: replicas,
		Versions: []api.Version{{Name: "v1", Bytes: bytes}, {Name: "v2", Bytes: bytes}},
	}
	for adapter := range adaptersOf(c, index) {
		model.Adapters = append(model.Adapters, api.Adapter{Name: adapterName(adapter), Bytes: int64(c.Models.AdapterMiB) << 20})
	}
	return model
}
