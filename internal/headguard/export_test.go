package headguard

// Follow returns a function that follows the bytes of one connection and drops the verdicts.
func Follow() func(data []byte) {
	var s scanner
	var verdicts []verdict
	return func(data []byte) { verdicts = s.scan(data, verdicts[:0]) }
}
