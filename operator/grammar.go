package operator

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/nearest"
)

// Classes of errors.
var (
	// ErrSyntax means that a command is not of the language.
	ErrSyntax = errs.Class("syntax")
	// ErrRefused means that a command is of the language but cannot be done.
	ErrRefused = errs.Class("refused")
	// ErrConflict means that another writer was faster.
	ErrConflict = errs.Class("conflict")
	// ErrUnavailable means that the platform did not answer; the text says
	// whether the change may have been made.
	ErrUnavailable = errs.Class("unavailable")
	// ErrCredential means that the credential for changes is missing or wrong.
	ErrCredential = errs.Class("credential")
)

// Command is one parsed command; exactly one field is set.
type Command struct {
	Show    *Show    `parser:"  'show' @@"`
	Why     *Why     `parser:"| 'why' @@"`
	Create  *Create  `parser:"| 'create' @@"`
	Set     *Set     `parser:"| 'set' @@"`
	Replace *Replace `parser:"| 'replace' @@"`
	Pin     *Pin     `parser:"| 'pin' @@"`
	Unpin   *Pin     `parser:"| 'unpin' @@"`
	Drain   *Drain   `parser:"| 'drain' @@"`
	Undrain *Drain   `parser:"| 'undrain' @@"`
	Move    *Move    `parser:"| 'move' @@"`
	Delete  *Delete  `parser:"| 'delete' @@"`
	Help    bool     `parser:"| @'help'"`
}

// IsAboutEachDaemon reports whether the answer differs between daemons, because
// each keeps its own: decisions and requests.
func (c *Command) IsAboutEachDaemon() bool {
	if c.Why != nil {
		return true
	}
	return c.Show != nil && (c.Show.What == "requests" || c.Show.What == "moves" || c.Show.What == "decisions")
}

// Show lists one kind of thing.
type Show struct {
	What  string      `parser:"@('models'|'adapters'|'versions'|'backends'|'daemons'|'placements'|'requests'|'moves'|'services'|'machines'|'tenants'|'settings'|'decisions')"`
	Where []Condition `parser:"('where' @@ ('and' @@)*)?"`
	Sort  string      `parser:"('sort' 'by' @Word)?"`
	Limit count       `parser:"('limit' @Word)?"`
}

// Condition keeps rows whose column compares as asked.
type Condition struct {
	Column   string `parser:"@Word"`
	Operator string `parser:"@Operator"`
	Value    string `parser:"(@Word|@String)"`
}

// Why shows the decisions about one thing.
type Why struct {
	What string `parser:"@('model'|'backend'|'request')"`
	Name string `parser:"@Word"`
}

// Create makes a model, version, adapter, service, tenant or key.
type Create struct {
	Model   *CreateModel   `parser:"  'model' @@"`
	Version *CreateVersion `parser:"| 'version' @@"`
	Adapter *CreateAdapter `parser:"| 'adapter' @@"`
	Service *CreateService `parser:"| 'service' @@"`
	Tenant  *CreateTenant  `parser:"| 'tenant' @@"`
	Key     *CreateKey     `parser:"| 'key' @@"`
}

// CreateModel makes a model with its first version.
type CreateModel struct {
	Name     string `parser:"@Word"`
	Version  string `parser:"'version' @Word"`
	Size     string `parser:"'size' @Word"`
	Priority string `parser:"('priority' @Word)?"`
	Replicas *count `parser:"('replicas' @Word)?"`
	Max      *count `parser:"('max' @Word)?"`
}

// CreateVersion adds a version to a model, without serving it yet.
type CreateVersion struct {
	Name  string `parser:"@Word"`
	Model string `parser:"'of' @Word"`
	Size  string `parser:"'size' @Word"`
}

// CreateAdapter adds an adapter to a model.
type CreateAdapter struct {
	Name  string `parser:"@Word"`
	Model string `parser:"'on' @Word"`
	Size  string `parser:"'size' @Word"`
}

// CreateService makes a plain service on machines.
type CreateService struct {
	Name     string   `parser:"@Word"`
	Machines []string `parser:"'on' @Word (',' @Word)*"`
	Priority string   `parser:"('priority' @Word)?"`
}

// Set changes one property of a model or a tenant.
type Set struct {
	Model  *SetModel  `parser:"  'model' @@"`
	Tenant *SetTenant `parser:"| 'tenant' @@"`
}

// SetModel changes one property of a model.
type SetModel struct {
	Model    string `parser:"@Word"`
	Property string `parser:"@('priority'|'replicas'|'max')"`
	Value    string `parser:"@Word"`
	Version  count  `parser:"('if' 'version' @Word)?"`
}

// Replace makes another version the one that serves.
type Replace struct {
	Model   string `parser:"'version' 'of' @Word"`
	With    string `parser:"'with' @Word"`
	Version count  `parser:"('if' 'version' @Word)?"`
}

// Pin ties a model to a back end, or ends that.
type Pin struct {
	Model   string `parser:"@Word"`
	BackEnd string `parser:"('to'|'from') @Word"`
}

// Drain empties a back end, or ends that.
type Drain struct {
	BackEnd string `parser:"@Word"`
}

// Move takes a replica from one back end to another.
type Move struct {
	Model string `parser:"@Word"`
	From  string `parser:"'from' @Word"`
	To    string `parser:"'to' @Word"`
}

// Delete removes a model, adapter, service, tenant or key.
type Delete struct {
	Key   *DeleteKey `parser:"  'key' @@"`
	What  string     `parser:"| @('model'|'adapter'|'service'|'tenant')"`
	Name  string     `parser:"  @Word"`
	Model string     `parser:"  ('on' @Word)?"`
}

// count is a whole number in a command.
type count uint64

// Capture implements participle.Capture.
func (c *count) Capture(words []string) error {
	value, err := strconv.ParseUint(words[0], 10, 63)
	if err != nil {
		return ErrSyntax.New("%q does not fit here; give a whole number", words[0])
	}
	*c = count(value)
	return nil
}

var commandLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Operator", Pattern: `!=|>=|<=|=|<|>|~`},
	{Name: "Comma", Pattern: `,`},
	{Name: "Word", Pattern: `[\p{L}\p{N}_.:/@+%*-]+`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Command](
	participle.Lexer(commandLexer),
	participle.Unquote("String"),
	participle.Elide("Space"),
	participle.UseLookahead(2),
)

// Keywords lists every word of the language, for completion and hints.
var Keywords = []string{
	"show", "why", "create", "set", "replace", "pin", "unpin", "drain", "undrain", "move", "delete", "help",
	"models", "adapters", "versions", "backends", "daemons", "placements", "requests", "moves", "services", "machines",
	"settings", "decisions", "tenants", "tenant", "key", "rate", "burst", "unit", "for", "model", "version", "adapter", "service", "backend", "request",
	"where", "and", "sort", "by", "limit", "size", "priority", "replicas", "max", "of", "on", "with", "to", "from", "if",
}

// Parse reads one command. Errors give the column and the nearest valid word.
func Parse(text string) (*Command, error) {
	text = strings.TrimSpace(text)
	command, err := parser.ParseString("", text)
	if err == nil {
		return command, nil
	}
	var failure participle.Error
	if !errors.As(err, &failure) {
		return nil, ErrSyntax.Wrap(err)
	}
	column := columnOf(text, failure.Position().Offset)
	message := strings.TrimPrefix(failure.Message(), "failed to capture: syntax: ")
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) && unexpected.Unexpected.Type != lexer.EOF {
		word := unexpected.Unexpected.Value
		message = fmt.Sprintf("%q does not fit here", word)
		if closest := nearest.Match(word, Keywords); closest != "" && closest != word {
			message += fmt.Sprintf("; did you mean %q?", closest)
		} else if unexpected.Expect != "" {
			message += "; expected " + unexpected.Expect
		}
	}
	return nil, ErrSyntax.New("column %d: %s", column, message)
}

// columnOf returns the column of the first word at or after an offset.
func columnOf(text string, offset int) int {
	for offset < len(text) && text[offset] == ' ' {
		offset++
	}
	return offset + 1
}

// HelpText describes the language.
const HelpText = `show models|adapters|versions|backends|daemons|placements|requests|moves|services|machines|tenants|settings|decisions
     [where COLUMN =|!=|<|>|<=|>=|~ VALUE [and ...]] [sort by COLUMN] [limit N]
why model|backend|request NAME
create model NAME version VERSION size SIZE [priority critical|paid|free] [replicas N] [max N]
create version VERSION of MODEL size SIZE
create adapter NAME on MODEL size SIZE
create service NAME on MACHINE, ... [priority ...]
create tenant NAME [priority P] [rate N] [burst N] [unit requests|tokens]
create key for TENANT         delete key FINGERPRINT of TENANT
set model NAME priority|replicas|max VALUE [if version N]
set tenant NAME priority|rate|burst|unit VALUE [if version N]
replace version of MODEL with VERSION [if version N]
pin MODEL to BACKEND          unpin MODEL from BACKEND
drain BACKEND                 undrain BACKEND
move MODEL from BACKEND to BACKEND
delete model|service|tenant NAME     delete adapter NAME on MODEL
Sizes are bytes or have a unit: KiB, MiB, GiB.`
