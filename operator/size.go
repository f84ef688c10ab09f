package operator

import (
	"strconv"
	"strings"
)

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"", 1},
}

// maxSizeBytes is more than any engine's memory, so that sums cannot overflow.
const maxSizeBytes = 1 << 50

// parseSize reads a size such as "14GiB".
func parseSize(text string) (int64, error) {
	for _, unit := range sizeUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(number, 64)
		bytes := value * float64(unit.bytes)
		if err != nil || !(bytes >= 1) || bytes > maxSizeBytes {
			break
		}
		return int64(bytes), nil
	}
	return 0, ErrRefused.New("size %q: give a positive number with KiB, MiB or GiB, for example 14GiB", text)
}

// FormatSize writes a size in bytes with the largest fitting unit, rounded to
// one decimal.
func FormatSize(bytes int64) string {
	for i := len(sizeUnits) - 2; i >= 0; i-- {
		unit := sizeUnits[i]
		if bytes >= unit.bytes {
			return strconv.FormatFloat(float64(bytes)/float64(unit.bytes), 'f', 1, 64) + unit.suffix
		}
	}
	return strconv.FormatInt(bytes, 10)
}
