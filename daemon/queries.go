package daemon

import (
	"context"
	"crypto/subtle"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/caller"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/operator"
	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/placement"
	"github.com/wheatweir/wheatweir/settings"
)

// queryTimeout bounds how long a query waits for the control duty.
const queryTimeout = 2 * time.Second

func sortedKeys[V any](named map[string]V) []string {
	names := make([]string, 0, len(named))
	for name := range named {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// WriteMetrics implements caller.Handler.
func (d *Daemon) WriteMetrics(w io.Writer) error { return d.metrics.write(w) }

// Command implements caller.Handler.
func (d *Daemon) Command(ctx context.Context, text, credential string) ([]byte, int) {
	result, status := d.runCommand(ctx, text, credential)
	return result.JSON(), status
}

func (d *Daemon) runCommand(ctx context.Context, text, credential string) (*operator.Result, int) {
	command, err := operator.Parse(text)
	if err != nil {
		return failure(err)
	}
	own := []byte(d.settings.Operators.Credential)
	may := subtle.ConstantTimeCompare([]byte(credential), own) == 1
	result, err := d.operators.Execute(ctx, command, may)
	if err != nil {
		d.logger.Info("Command refused.", "part", "operator", "command", text, "error", err)
		return failure(err)
	}
	if result.Version != 0 {
		d.logger.Info("Command done.", "part", "operator", "command", text, "version", result.Version)
		d.history.add("operator", text, []any{"version", result.Version})
	}
	return result, statusOK
}

func failure(err error) (*operator.Result, int) {
	kind, status := "internal", 500
	switch {
	case operator.ErrSyntax.Has(err):
		kind, status = "syntax", 400
	case operator.ErrRefused.Has(err):
		kind, status = "refused", 422
	case operator.ErrConflict.Has(err):
		kind, status = "conflict", 409
	case operator.ErrUnavailable.Has(err):
		kind, status = "unavailable", 503
	case operator.ErrCredential.Has(err):
		kind, status = "credential", 401
	}
	return &operator.Result{Error: err.Error(), ErrorKind: kind}, status
}

// Names implements operator.System.
func (d *Daemon) Names(kind api.Kind) []string {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	var names []string
	d.ask(ctx, func(node *control.Node) { names = node.Store().Names(kind) })
	return names
}

// Decisions implements operator.System.
func (d *Daemon) Decisions(name string) *operator.Result { return d.history.rows(name) }

// Rows implements operator.System.
func (d *Daemon) Rows(what string) (*operator.Result, error) {
	switch what {
	case "requests":
		return d.requests.rows(), nil
	case "decisions":
		return d.history.rows(), nil
	case "moves":
		return d.history.rows("Placement changes."), nil
	case "settings":
		return d.settingRows(), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	var result *operator.Result
	answered := d.ask(ctx, func(node *control.Node) { result = nodeRows(node, what) })
	if !answered {
		return nil, operator.ErrUnavailable.New("the control duty did not answer within %s", queryTimeout)
	}
	return result, nil
}

func (d *Daemon) settingRows() *operator.Result {
	result := &operator.Result{Columns: []string{"setting", "value"}}
	for _, pair := range settings.Show(&d.settings) {
		result.Rows = append(result.Rows, []string{pair[0], pair[1]})
	}
	return result
}

func nodeRows(node *control.Node, what string) *operator.Result {
	switch what {
	case "models":
		return modelRows(node)
	case "versions":
		return versionRows(node)
	case "adapters":
		return adapterRows(node)
	case "services":
		return serviceRows(node)
	case "tenants":
		return tenantRows(node)
	case "daemons":
		return daemonRows(node)
	case "placements":
		return placementRows(node)
	case "machines":
		return machineRows(node)
	default:
		return backEndRows(node)
	}
}

func modelRows(node *control.Node) *operator.Result {
	result := &operator.Result{Columns: []string{"model", "priority", "serving", "size", "adapters", "replicas", "max", "held", "serving_on", "version"}}
	held, serving := replicaCounts(node)
	for _, entry := range node.ModelObjects() {
		model := entry.Value
		result.Rows = append(result.Rows, []string{
			model.Name, model.Priority.String(), model.Serving, operator.FormatSize(model.Bytes()),
			strconv.Itoa(len(model.Adapters)), strconv.Itoa(model.MinReplicas), strconv.Itoa(model.MaxReplicas),
			strconv.Itoa(held[model.Name]), strings.Join(serving[model.Name], ","), strconv.FormatUint(entry.Version, 10),
		})
	}
	return result
}

// replicaCounts returns for each model how many records hold it and which
// back ends are known here to serve it.
func replicaCounts(node *control.Node) (map[string]int, map[string][]string) {
	held, serving := map[string]int{}, map[string][]string{}
	for _, status := range node.BackEndStatuses() {
		for _, entry := range status.Placement.Entries {
			if entry.Artifact.Adapter != "" || entry.Phase != api.PhaseHeld {
				continue
			}
			held[entry.Artifact.Model]++
			if status.Report != nil && status.Report.Serves(entry.Artifact) {
				serving[entry.Artifact.Model] = append(serving[entry.Artifact.Model], status.Machine.Name)
			}
		}
	}
	return held, serving
}

func versionRows(node *control.Node) *operator.Result {
	result := &operator.Result{Columns: []string{"model", "version", "size", "serving"}}
	for _, entry := range node.ModelObjects() {
		for _, version := range entry.Value.Versions {
			result.Rows = append(result.Rows, []string{
				entry.Value.Name, version.Name, operator.FormatSize(version.Bytes), strconv.FormatBool(version.Name == entry.Value.Serving),
			})
		}
	}
	return result
}

func adapterRows(node *control.Node) *operator.Result {
	result := &operator.Result{Columns: []string{"model", "adapter", "size"}}
	for _, entry := range node.ModelObjects() {
		for _, adapter := range entry.Value.Adapters {
			result.Rows = append(result.Rows, []string{entry.Value.Name, adapter.Name, operator.FormatSize(adapter.Bytes)})
		}
	}
	return result
}

func serviceRows(node *control.Node) *operator.Result {
	result := &operator.Result{Columns: []string{"service", "priority", "machines", "version"}}
	for _, entry := range node.ServiceObjects() {
		result.Rows = append(result.Rows, []string{
			entry.Value.Name, entry.Value.Priority.String(), strings.Join(entry.Value.Machines, ","), strconv.FormatUint(entry.Version, 10),
		})
	}
	return result
}

func machineRows(node *control.Node) *operator.Result {
	result := &operator.Result{Columns: []string{"machine", "role", "zone", "state", "address"}}
	for _, machine := range node.Machines() {
		result.Rows = append(result.Rows, []string{
			machine.Name, string(machine.Role), machine.Zone, string(machine.State), machine.Address,
		})
	}
	return result
}

func daemonRows(node *control.Node) *operator.Result {
	result := &operator.Result{Columns: []string{"daemon", "zone", "state", "callers", "peers", "incarnation"}}
	for _, known := range node.Members() {
		state := known.State.String()
		if known.Leaving && known.State == member.Alive {
			state = "leaving"
		}
		result.Rows = append(result.Rows, []string{
			known.Name, known.Zone, state, known.CallerAddress, known.PeerAddress, strconv.FormatUint(known.Incarnation, 10),
		})
	}
	return result
}

var healthNames = map[placement.Health]string{placement.Up: "up", placement.Leaving: "leaving", placement.Down: "down"}

func backEndRows(node *control.Node) *operator.Result {
	result := &operator.Result{Columns: []string{"backend", "zone", "health", "emptying", "memory", "reserved", "running", "waiting", "fenced", "address", "version"}}
	for _, status := range node.BackEndStatuses() {
		running, waiting := "-", "-"
		if status.Report != nil {
			running, waiting = strconv.Itoa(status.Report.Running), strconv.Itoa(status.Report.Waiting)
		}
		result.Rows = append(result.Rows, []string{
			status.Machine.Name, status.Machine.Zone, healthNames[status.Health], strconv.FormatBool(status.Placement.Emptying()),
			operator.FormatSize(status.Machine.MemoryBytes), operator.FormatSize(status.Placement.Reserved()),
			running, waiting, strconv.FormatBool(status.Machine.ChecksFence), status.Machine.Address, strconv.FormatUint(status.Version, 10),
		})
	}
	return result
}

func placementRows(node *control.Node) *operator.Result {
	result := &operator.Result{Columns: []string{"backend", "model", "version", "adapter", "phase", "observed", "anchor", "moving", "size", "reason"}}
	for _, status := range node.BackEndStatuses() {
		for _, entry := range status.Placement.Entries {
			observed := "unknown"
			if status.Report != nil {
				observed = strconv.FormatBool(status.Report.Serves(entry.Artifact))
			}
			result.Rows = append(result.Rows, []string{
				status.Machine.Name, entry.Artifact.Model, entry.Artifact.Version, entry.Artifact.Adapter, string(entry.Phase), observed,
				strconv.FormatBool(entry.Anchor), strconv.FormatBool(entry.Moving), operator.FormatSize(entry.Bytes), entry.Reason,
			})
		}
	}
	return result
}

// requestLogSize is how many requests are kept for queries.
const requestLogSize = 500

// requestLog keeps the last requests that ended at this daemon.
type requestLog struct {
	mutex   sync.Mutex
	entries [][]string
	next    int
}

func newRequestLog() *requestLog { return &requestLog{} }

func (l *requestLog) add(call *caller.Call, target string, result outcome.Result, took time.Duration) {
	row := []string{
		call.ArrivedAt.UTC().Format(timeLayout), call.ID, target, fmt.Sprint(call.Priority),
		result.Kind.String(), string(result.Reason), took.Round(time.Microsecond).String(),
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.entries) < requestLogSize {
		l.entries = append(l.entries, row)
		return
	}
	l.entries[l.next] = row
	l.next = (l.next + 1) % requestLogSize
}

func (l *requestLog) rows() *operator.Result {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	result := &operator.Result{Columns: []string{"at", "request", "target", "priority", "outcome", "reason", "took"}}
	for i := range l.entries {
		result.Rows = append(result.Rows, l.entries[(l.next+i)%len(l.entries)])
	}
	return result
}
