package balance

import "time"

const (
	// defaultTargetGap is the unit of time of the score for requests without a target gap.
	defaultTargetGap = 500 * time.Millisecond
	// shortAnswerWeight is the weight of each token by which an answer is shorter than the mean. With the weight 1,
	// short answers would wait longer at slow instances than necessary. With 0, they would delay long streams at fast
	// instances.
	shortAnswerWeight = 0.25
)

// TimeScorer prefers instances that read prompts sooner, and directs long answers to fast instances. It replaces
// PromptScorer for candidates that differ in slowness. The request must contain its token times.
type TimeScorer struct{}

// Score implements Scorer. It returns the expected time of the request in units of the target gap. Streams that run at
// the instance stall while prompts are read, so the reading time beyond the target gap counts twice.
func (TimeScorer) Score(request *Request, candidate *Candidate) float64 {
	slowness := boundedSlowness(candidate.Slowness)
	prompts := float64(max(0, candidate.Load.PromptTokens) + request.PromptTokens)
	reading := prompts * slowness * request.Tokens.Read.Seconds()
	generating := weightedOutputDeviation(request) * slowness * request.Tokens.Generate.Seconds()
	if request.TargetGap <= 0 {
		return (reading + generating) / defaultTargetGap.Seconds()
	}
	gap := request.TargetGap.Seconds()
	return (reading + generating + max(0, reading-gap)) / gap
}

// weightedOutputDeviation returns the part of the expected output that the choice depends on: its difference from the
// mean, weighted by shortAnswerWeight if it is shorter. With the whole output, every answer would prefer fast instances
// by up to the whole difference in run time, and would queue there for as long.
func weightedOutputDeviation(request *Request) float64 {
	deviation := expectedOutput(request.OutputTokens) - float64(request.Tokens.Output)
	if deviation < 0 {
		return shortAnswerWeight * deviation
	}
	return deviation
}
