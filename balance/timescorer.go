package balance

import "time"

const (
	// defaultTargetGap is the unit of time of a score for requests without a target gap.
	defaultTargetGap = 500 * time.Millisecond
	// shortAnswerWeight is what each token counts that an answer is shorter than the mean. In full, short answers would
	// wait longer at slow instances than they have to; without it, they would hold up long streams at fast ones.
	shortAnswerWeight = 0.25
)

// TimeScorer prefers instances that read prompts sooner, and leads long answers to fast instances.
// It replaces PromptScorer for candidates that differ in slowness. The request must carry its
// token times.
type TimeScorer struct{}

// Score implements Scorer. It is the expected time of the request in units of the target gap.
// Streams that run at the instance stall while prompts are read, so the reading time beyond the
// target gap counts once more.
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

// weightedOutputDeviation is the part of the expected output that the choice depends on: what it has more or
// less than the mean. With the whole output every answer would prefer fast instances, by up to the
// whole difference in run time, and wait there in line for as long.
func weightedOutputDeviation(request *Request) float64 {
	above := expectedOutput(request.OutputTokens) - float64(request.Tokens.Output)
	if above < 0 {
		return shortAnswerWeight * above
	}
	return above
}
