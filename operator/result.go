package operator

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/wheatweir/wheatweir/nearest"
)

// Result is the answer to a command: rows of a table, or a message.
type Result struct {
	Columns []string   `json:"columns,omitempty"`
	Rows    [][]string `json:"rows,omitempty"`
	Message string     `json:"message,omitempty"`
	// Version is the object version that a change produced.
	Version uint64 `json:"version,omitempty"`
	// Error is set if the command failed, and ErrorKind is its class.
	Error     string `json:"error,omitempty"`
	ErrorKind string `json:"error_kind,omitempty"`
}

// Table returns the result as aligned text.
func (r *Result) Table() string {
	var text strings.Builder
	if len(r.Columns) > 0 {
		writer := tabwriter.NewWriter(&text, 0, 8, 2, ' ', 0)
		_, _ = writer.Write([]byte(strings.ToUpper(strings.Join(r.Columns, "\t")) + "\n"))
		for _, row := range r.Rows {
			_, _ = writer.Write([]byte(strings.Join(row, "\t") + "\n"))
		}
		_ = writer.Flush()
	}
	if r.Message != "" {
		text.WriteString(r.Message + "\n")
	}
	return text.String()
}

// JSON returns the result as JSON.
func (r *Result) JSON() []byte {
	encoded, err := json.Marshal(r)
	if err != nil {
		return []byte("{}")
	}
	return encoded
}

// refine applies the conditions, order and limit of a query.
func refine(result *Result, query *Show) error {
	for i := range query.Where {
		if err := filterRows(result, &query.Where[i]); err != nil {
			return err
		}
	}
	if query.Sort != "" {
		column, err := columnIndex(result, query.Sort)
		if err != nil {
			return err
		}
		slices.SortStableFunc(result.Rows, func(a, b []string) int { return compareCells(a[column], b[column]) })
	}
	if limit := int(query.Limit); limit > 0 && len(result.Rows) > limit {
		result.Rows = result.Rows[:limit]
	}
	return nil
}

func columnIndex(result *Result, name string) (int, error) {
	index := slices.Index(result.Columns, name)
	if index >= 0 {
		return index, nil
	}
	if closest := nearest.Match(name, result.Columns); closest != "" {
		return 0, ErrRefused.New("no column %q; did you mean %q?", name, closest)
	}
	return 0, ErrRefused.New("no column %q; use one of %s", name, strings.Join(result.Columns, ", "))
}

func filterRows(result *Result, condition *Condition) error {
	column, err := columnIndex(result, condition.Column)
	if err != nil {
		return err
	}
	result.Rows = slices.DeleteFunc(result.Rows, func(row []string) bool {
		return !matches(row[column], condition)
	})
	return nil
}

func matches(cell string, condition *Condition) bool {
	order := compareCells(cell, condition.Value)
	switch condition.Operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	case ">=":
		return order >= 0
	default:
		return strings.Contains(cell, condition.Value)
	}
}

// compareCells compares numbers and sizes as such and all else as text.
func compareCells(a, b string) int {
	left, leftOK := cellNumber(a)
	right, rightOK := cellNumber(b)
	if leftOK && rightOK {
		return cmp.Compare(left, right)
	}
	return strings.Compare(a, b)
}

func cellNumber(cell string) (float64, bool) {
	if value, err := strconv.ParseFloat(cell, 64); err == nil {
		return value, true
	}
	if size, err := parseSize(cell); err == nil {
		return float64(size), true
	}
	return 0, false
}

// Merge adds the rows of one daemon's result, with its name in front, and keeps
// rows that begin with a time in the order of time.
func (r *Result) Merge(daemon string, other *Result) {
	if other.Error != "" {
		r.Error, r.ErrorKind = other.Error, other.ErrorKind
		return
	}
	if len(r.Columns) == 0 {
		r.Columns = append([]string{"at", "daemon"}, other.Columns[1:]...)
	}
	for _, row := range other.Rows {
		r.Rows = append(r.Rows, append([]string{row[0], daemon}, row[1:]...))
	}
	slices.SortStableFunc(r.Rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
}
