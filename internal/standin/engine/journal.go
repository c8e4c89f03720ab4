package engine

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// maxExecutions bounds the number of executions that a Journal keeps. At the
// bound, it drops the older half.
const maxExecutions = 200_000

// Outcome is the state of an execution or the way in which it ended.
type Outcome string

// The outcomes of an execution.
const (
	OutcomeRunning   Outcome = "running"
	OutcomeFinished  Outcome = "finished"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeCrashed   Outcome = "crashed"
	OutcomeFailed    Outcome = "failed"
)

// ExecutionKind is the stage of a request that an engine executes.
type ExecutionKind string

// The kinds of executions.
const (
	ExecutionPrefill ExecutionKind = "prefill"
	ExecutionImport  ExecutionKind = "import"
	ExecutionDecode  ExecutionKind = "decode"
)

// Execution is the record of one prefill, import or decode that an engine ran for
// a request.
type Execution struct {
	RequestID string
	Engine    string
	BootID    string
	Kind      ExecutionKind
	Outcome   Outcome
	Started   time.Time
	Ended     time.Time // zero while running
	// FirstIndex is the index of the first output token of a decode.
	FirstIndex int
	// Tokens counts the prompt tokens computed, the tokens imported or the
	// output tokens produced.
	Tokens int
}

// Journal records the executions of the engines that share it and the prefill
// tokens that were wasted. The engines share it because whether a prefill output
// was useful is known only to the engine that imports it.
type Journal struct {
	mu           sync.Mutex
	executions   []*Execution
	outputs      map[string]*output // by handle
	wastedTokens map[string]int     // by engine
}

// output is the output of one prefill, from the start of its computation until
// no hold or import uses it.
type output struct {
	engine         string
	computedTokens int
	tokenProduced  bool // a decode that imported it produced a token
	users          int
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{outputs: make(map[string]*output), wastedTokens: make(map[string]int)}
}

// Executions returns the executions with the given request_id. When id has no
// attempt part, it returns those of all attempts of the request.
func (j *Journal) Executions(id string) []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []Execution
	for _, x := range j.executions {
		if x.RequestID == id || strings.HasPrefix(x.RequestID, id+"/") {
			found = append(found, *x)
		}
	}
	return found
}

// WastedTokens returns the number of wasted prefill tokens of an engine. Tokens
// are wasted when their output was never imported, or when no output token was
// produced from it because the request was cancelled, evicted or lost in a crash.
func (j *Journal) WastedTokens(engine string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.wastedTokens[engine]
}

// startExecution records x as a running execution. When the journal is full, it drops
// the oldest half of the records.
func (j *Journal) startExecution(x Execution) *Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.executions) >= maxExecutions {
		j.executions = slices.Clone(j.executions[maxExecutions/2:])
	}
	x.Outcome, x.Started = OutcomeRunning, time.Now()
	j.executions = append(j.executions, &x)
	return &x
}

// endExecution records the outcome of an execution that is still running; x may be
// nil.
func (j *Journal) endExecution(x *Execution, outcome Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if x != nil && x.Outcome == OutcomeRunning {
		x.Outcome, x.Ended = outcome, time.Now()
	}
}

func (j *Journal) addTokens(x *Execution, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	x.Tokens += n
}

// openOutput registers the output of a starting prefill, with the prefill's engine
// as its first user.
func (j *Journal) openOutput(handle, engine string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outputs[handle] = &output{engine: engine, users: 1}
}

// addComputedTokens adds n to the prefill tokens that were computed for an output.
func (j *Journal) addComputedTokens(handle string, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if o := j.outputs[handle]; o != nil {
		o.computedTokens += n
	}
}

// addOutputUser adds a user of an output. It reports false when the journal has
// no such output.
func (j *Journal) addOutputUser(handle string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	o := j.outputs[handle]
	if o == nil {
		return false
	}
	o.users++
	return true
}

// markTokenProduced records that an output token was produced from a prefill output,
// so that its prefill tokens do not count as wasted.
func (j *Journal) markTokenProduced(handle string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if o := j.outputs[handle]; o != nil {
		o.tokenProduced = true
	}
}

// removeOutputUser removes a user of an output. When the last user is removed and
// no token was produced, the output's tokens count as wasted.
func (j *Journal) removeOutputUser(handle string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	o := j.outputs[handle]
	if o == nil {
		return
	}
	if o.users--; o.users > 0 {
		return
	}
	delete(j.outputs, handle)
	if !o.tokenProduced {
		j.wastedTokens[o.engine] += o.computedTokens
	}
}

// addWastedTokens counts prefill tokens as wasted that were computed after their
// output had been removed.
func (j *Journal) addWastedTokens(engine string, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.wastedTokens[engine] += n
}

// AllExecutions returns all recorded executions, ordered by their start.
func (j *Journal) AllExecutions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := make([]Execution, len(j.executions))
	for i, x := range j.executions {
		all[i] = *x
	}
	return all
}
