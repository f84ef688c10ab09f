package experiment

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/inifile"
)

// ErrExperiment is the class of failures of experiments.
var ErrExperiment = errs.Class("experiment")

// Config is one experiment.
type Config struct {
	Name        string
	Description string
	Duration    time.Duration
	Warmup      time.Duration
	World       World
	Models      Models
	Demand      Demand
	Tiers       []Tier
	Faults      Faults
}

// World is the size and speed of the deployment.
type World struct {
	Zones, Daemons, Engines, Accelerators int
	MemoryGiB                             int
	Slots                                 int
	StepBase, StepPerSequence             time.Duration
	PrefillPerToken                       time.Duration
	LoadsPerSecond                        float64
	LoadsAtFullSpeed                      int
	LoadGiBPerSecond                      float64
	CrossZone                             time.Duration
}

// Models are the models of a deployment.
type Models struct {
	Count, Adapters     int
	SizeGiB, AdapterMiB int
}

// Demand is how requests come.
type Demand struct {
	// PerSecond is the base rate over all models.
	PerSecond float64
	// Skew is the exponent of the power law over models.
	Skew float64
	// Phases multiply the base rate from a time on.
	Phases []Phase
	// BurstModel, if not zero, is a model whose rate is BurstFactor times the
	// base rate of the whole deployment divided by ten during the burst.
	BurstModel  int
	BurstFactor float64
	BurstAt     time.Duration
	BurstFor    time.Duration
}

// Phase is a factor from a time on.
type Phase struct {
	From   time.Duration
	Factor float64
}

// Tier is one kind of request with its targets.
type Tier struct {
	Name         string
	Share        float64
	Priority     string
	FirstToken   time.Duration
	PerToken     time.Duration
	Deadline     time.Duration
	PromptTokens int
	OutputTokens int
}

func (t *Tier) priority() api.Priority {
	priority, _ := api.ParsePriority(t.Priority)
	return priority
}

// Faults are the faults of an experiment; zero times mean none.
type Faults struct {
	EngineLostAt    time.Duration
	PlatformDownAt  time.Duration
	PlatformDownFor time.Duration
	RolloutAt       time.Duration
}

// Read reads and checks an experiment file.
func Read(path string) (*Config, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrExperiment.Wrap(err)
	}
	return Parse(path, content)
}

const tierPrefix = "tier "

// Parse checks the content of an experiment file.
func Parse(path string, content []byte) (*Config, error) {
	config := &Config{}
	sections, err := inifile.Sections(path, content, tierPrefix)
	if err != nil {
		return nil, err
	}
	config.Tiers = make([]Tier, len(sections))
	fields := fieldsOf(config)
	for i, section := range sections {
		config.Tiers[i].Name = strings.TrimPrefix(section, tierPrefix)
		fields = append(fields, tierFields(section, &config.Tiers[i])...)
	}
	reader, err := inifile.Read(path, content, fields)
	if err != nil {
		return nil, err
	}
	if len(sections) == 0 {
		reader.Fault("[experiment]", "no [tier NAME] section: give at least one")
	}
	total := 0.0
	for i := range config.Tiers {
		total += config.Tiers[i].Share
	}
	if len(sections) > 0 && (total < 0.999 || total > 1.001) {
		reader.Fault("["+sections[0]+"]", "the shares of all tiers sum to %.3f: make it 1", total)
	}
	return config, reader.Err()
}

func fieldsOf(c *Config) []inifile.Field {
	w, m, d, f := &c.World, &c.Models, &c.Demand, &c.Faults
	required := func(field inifile.Field) inifile.Field {
		field.Required = true
		return field
	}
	return []inifile.Field{
		inifile.Word("experiment", "name", &c.Name, true),
		inifile.Text("experiment", "description", &c.Description),
		required(inifile.Duration("experiment", "duration", &c.Duration, 10*time.Second, 24*time.Hour)),
		required(inifile.Duration("experiment", "warmup", &c.Warmup, 10*time.Second, time.Hour)),

		required(inifile.Integer("world", "zones", &w.Zones, 1, 10)),
		required(inifile.Integer("world", "daemons", &w.Daemons, 1, 100)),
		required(inifile.Integer("world", "engines", &w.Engines, 1, 1000)),
		required(inifile.Integer("world", "accelerators_per_engine", &w.Accelerators, 1, 64)),
		required(inifile.Integer("world", "memory_gib", &w.MemoryGiB, 1, 10000)),
		required(inifile.Integer("world", "slots", &w.Slots, 1, 10000)),
		required(inifile.Duration("world", "step_base", &w.StepBase, 0, time.Second)),
		required(inifile.Duration("world", "step_per_sequence", &w.StepPerSequence, 0, time.Second)),
		required(inifile.Duration("world", "prefill_per_token", &w.PrefillPerToken, 0, time.Second)),
		required(inifile.Number("world", "loads_per_second", &w.LoadsPerSecond, 0.01, 1000)),
		required(inifile.Integer("world", "loads_at_full_speed", &w.LoadsAtFullSpeed, 1, 1000)),
		required(inifile.Number("world", "load_gib_per_second", &w.LoadGiBPerSecond, 0.01, 1000)),
		required(inifile.Duration("world", "cross_zone", &w.CrossZone, 0, time.Second)),

		required(inifile.Integer("models", "count", &m.Count, 1, 1000)),
		required(inifile.Integer("models", "adapters", &m.Adapters, 0, 1000)),
		required(inifile.Integer("models", "size_gib", &m.SizeGiB, 1, 1000)),
		required(inifile.Integer("models", "adapter_mib", &m.AdapterMiB, 1, 100000)),

		required(inifile.Number("demand", "per_second", &d.PerSecond, 0.01, 100000)),
		required(inifile.Number("demand", "skew", &d.Skew, 0, 5)),
		phases("demand", "phases", &d.Phases),
		inifile.Integer("demand", "burst_model", &d.BurstModel, 0, 1000),
		inifile.Number("demand", "burst_factor", &d.BurstFactor, 0, 1000),
		inifile.Duration("demand", "burst_at", &d.BurstAt, 0, 24*time.Hour),
		inifile.Duration("demand", "burst_for", &d.BurstFor, 0, 24*time.Hour),

		inifile.Duration("faults", "engine_lost_at", &f.EngineLostAt, 0, 24*time.Hour),
		inifile.Duration("faults", "platform_down_at", &f.PlatformDownAt, 0, 24*time.Hour),
		inifile.Duration("faults", "platform_down_for", &f.PlatformDownFor, 0, 24*time.Hour),
		inifile.Duration("faults", "rollout_at", &f.RolloutAt, 0, 24*time.Hour),
	}
}

func tierFields(section string, t *Tier) []inifile.Field {
	fields := []inifile.Field{
		inifile.Number(section, "share", &t.Share, 0, 1),
		inifile.Choice(section, "priority", &t.Priority, api.PriorityNames()...),
		inifile.Duration(section, "first_token", &t.FirstToken, time.Millisecond, time.Hour),
		inifile.Duration(section, "per_token", &t.PerToken, time.Millisecond, time.Hour),
		inifile.Duration(section, "deadline", &t.Deadline, time.Millisecond, time.Hour),
		inifile.Integer(section, "prompt_tokens", &t.PromptTokens, 1, 1000000),
		inifile.Integer(section, "output_tokens", &t.OutputTokens, 1, 1000000),
	}
	for i := range fields {
		fields[i].Required = true
	}
	return fields
}

// phases declares a list such as "0s 1, 60s 10, 300s 1".
func phases(section, name string, target *[]Phase) inifile.Field {
	return inifile.Field{
		Section: section, Name: name, Form: "TIME FACTOR, ... in the order of time, for example 0s 1, 60s 10",
		Parse: func(text string) bool {
			*target = nil
			for _, part := range strings.Split(text, ",") {
				words := strings.Fields(part)
				if len(words) != 2 {
					return false
				}
				from, err := time.ParseDuration(words[0])
				factor, numberErr := strconv.ParseFloat(words[1], 64)
				late := len(*target) > 0 && from <= (*target)[len(*target)-1].From
				if err != nil || numberErr != nil || factor < 0 || late {
					return false
				}
				*target = append(*target, Phase{from, factor})
			}
			return true
		},
		Show: func() string { return "" },
	}
}
