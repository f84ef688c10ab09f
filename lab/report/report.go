// Package report draws the results of experiments as plots.
package report

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/wheatweir/wheatweir/lab/experiment"
)

// ErrReport is the class of failures of reports.
var ErrReport = errs.Class("report")

const (
	width  = 9 * vg.Inch
	height = 4 * vg.Inch
)

// measures are what is drawn over time.
var measures = []struct {
	file, title, axis string
	// legendTop puts the legend where the lines of the measure are rarely.
	legendTop bool
	value     func(experiment.Sample) float64
}{
	{"attainment", "Attainment of the requests that came in each ten seconds", "share within targets", false, func(s experiment.Sample) float64 { return s.Attainment }},
	{"moves", "Loads and unloads since the start", "moves", true, func(s experiment.Sample) float64 { return float64(s.Moves) }},
	{"queue", "Requests at engines", "requests", true, func(s experiment.Sample) float64 { return float64(s.Queue) }},
	{"memory", "Accelerator memory in use", "share", false, func(s experiment.Sample) float64 { return s.MemoryShare }},
}

// Load reads results that "lab run --format json" printed.
func Load(paths []string) ([]experiment.Result, error) {
	var all []experiment.Result
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, ErrReport.Wrap(err)
		}
		var results []experiment.Result
		if err := json.Unmarshal(content, &results); err != nil {
			return nil, ErrReport.New("%s is not the JSON output of \"lab run\": %v", path, err)
		}
		all = append(all, results...)
	}
	return all, nil
}

// Write draws all results into a folder, one picture for each experiment, seed
// and measure, and returns the paths.
func Write(folder string, results []experiment.Result) ([]string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, ErrReport.Wrap(err)
	}
	groups := map[string][]experiment.Result{}
	var order []string
	for _, result := range results {
		name := fmt.Sprintf("%s-seed%d", result.Experiment, result.Seed)
		if groups[name] == nil {
			order = append(order, name)
		}
		groups[name] = append(groups[name], result)
	}
	var paths []string
	for _, name := range order {
		for index := range measures {
			path := filepath.Join(folder, name+"-"+measures[index].file+".png")
			if err := draw(path, name, index, groups[name]); err != nil {
				return paths, err
			}
			paths = append(paths, path)
		}
	}
	return paths, nil
}

func draw(path, name string, index int, results []experiment.Result) error {
	measure := &measures[index]
	picture := plot.New()
	picture.Title.Text = strings.ReplaceAll(name, "-", " ") + ": " + measure.title
	picture.X.Label.Text = "seconds"
	picture.Y.Label.Text = measure.axis
	picture.Legend.Top = measure.legendTop
	picture.Legend.Left = true
	picture.Add(plotter.NewGrid())
	for i := range results {
		points := make(plotter.XYs, 0, len(results[i].Series))
		for _, sample := range results[i].Series {
			points = append(points, plotter.XY{X: sample.Seconds, Y: measure.value(sample)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return ErrReport.Wrap(err)
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(1.2)
		picture.Add(line)
		label := results[i].Policy
		if results[i].Partial {
			label += " (partial)"
		}
		picture.Legend.Add(label, line)
	}
	if err := picture.Save(width, height, path); err != nil {
		return ErrReport.Wrap(err)
	}
	return nil
}
