// Package nearest finds the valid word that is closest to a mistyped word.
package nearest

// Match returns the candidate with the smallest edit distance to a word, or ""
// if no candidate is within half of the word's length plus one byte.
func Match(word string, candidates []string) string {
	best, bestDistance := "", len(word)/2+2
	for _, candidate := range candidates {
		if distance := distanceBetween(word, candidate); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// distanceBetween returns the Levenshtein distance in bytes.
func distanceBetween(a, b string) int {
	previous := make([]int, len(b)+1)
	current := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := range len(a) {
		current[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			current[j+1] = min(previous[j]+cost, previous[j+1]+1, current[j]+1)
		}
		previous, current = current, previous
	}
	return previous[len(b)]
}
