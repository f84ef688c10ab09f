package pace

import "math"

const (
	// maxFactor and its inverse bound a factor.
	maxFactor = 4.0
	// factorSteps is the number of steps between the codes of the smallest and the largest factor. Each is 1.1 %.
	factorSteps = 254
	// MaxFactors bounds the factors of an Update. At 14 bytes each, a message stays below 8 kB.
	MaxFactors = 512
)

// EncodeFactor encodes a factor as one byte on a logarithmic scale from 1/4 (code 1) to 4 (code 255). The code 0 means
// that there is no factor.
func EncodeFactor(factor float64) uint8 {
	if !(factor > 0) {
		return 0
	}
	fraction := (math.Log2(clampFactor(factor)) - math.Log2(1/maxFactor)) / (2 * math.Log2(maxFactor))
	return uint8(1 + math.Round(factorSteps*fraction))
}

// DecodeFactor returns the factor of a code. It reports false for the code 0.
func DecodeFactor(code uint8) (factor float64, known bool) {
	if code == 0 {
		return 0, false
	}
	fraction := float64(code-1) / factorSteps
	return math.Exp2(2*math.Log2(maxFactor)*fraction + math.Log2(1/maxFactor)), true
}

// clampFactor limits a factor to the range from 1/maxFactor to maxFactor.
func clampFactor(factor float64) float64 { return min(max(factor, 1/maxFactor), maxFactor) }
