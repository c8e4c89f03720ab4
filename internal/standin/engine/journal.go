package engine

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// maxExecutions bounds the records that a Journal keeps.
const maxExecutions = 200_000

// Outcome tells how an execution ended.
type Outcome string

// The outcomes of an execution.
const (
	OutcomeRunning Outcome = "running"
	Finished       Outcome = "finished"
	Cancelled      Outcome = "cancelled"
	OutcomeCrashed Outcome = "crashed"
	Failed         Outcome = "failed"
)

// ExecutionKind is a kind of execution.
type ExecutionKind string

// The kinds of executions.
const (
	ExecutionPrefill ExecutionKind = "prefill"
	ExecutionImport  ExecutionKind = "import"
	ExecutionDecode  ExecutionKind = "decode"
)

// Execution records that an engine ran one request's prefill, import or decode.
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

// Journal records what the engines that share it executed, and which prefill
// work was wasted. An engine alone can't tell: whether a prefill output was of
// use shows at the engine that imports it.
type Journal struct {
	mu         sync.Mutex
	executions []*Execution
	outputs    map[string]*output // by handle
	wasted     map[string]int     // by engine
}

// output is one prefill's output, from the start of its computation until
// neither a hold nor an import needs it.
type output struct {
	engine   string
	computed int
	produced bool // a token came of it
	users    int
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{outputs: make(map[string]*output), wasted: make(map[string]int)}
}

// Executions returns the executions of a request: those with the given
// request_id, or with all its attempts when id has no attempt part.
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

// WastedTokens returns the prefill tokens that an engine computed in vain:
// their output was never imported, or no token came of it because the request
// was cancelled, evicted or lost in a crash.
func (j *Journal) WastedTokens(engine string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.wasted[engine]
}

func (j *Journal) start(x Execution) *Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.executions) >= maxExecutions {
		j.executions = slices.Clone(j.executions[maxExecutions/2:])
	}
	x.Outcome, x.Started = OutcomeRunning, time.Now()
	j.executions = append(j.executions, &x)
	return &x
}

func (j *Journal) end(x *Execution, outcome Outcome) {
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

// open registers the output of a prefill that starts, with its engine as user.
func (j *Journal) open(handle, engine string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outputs[handle] = &output{engine: engine, users: 1}
}

func (j *Journal) addComputed(handle string, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if o := j.outputs[handle]; o != nil {
		o.computed += n
	}
}

// use adds a user; it reports false when the journal doesn't know the output.
func (j *Journal) use(handle string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	o := j.outputs[handle]
	if o == nil {
		return false
	}
	o.users++
	return true
}

func (j *Journal) produced(handle string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if o := j.outputs[handle]; o != nil {
		o.produced = true
	}
}

// leave removes a user. The last one settles whether the work was wasted.
func (j *Journal) leave(handle string) {
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
	if !o.produced {
		j.wasted[o.engine] += o.computed
	}
}

// addWasted charges prefill tokens whose output was settled before they were computed.
func (j *Journal) addWasted(engine string, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.wasted[engine] += n
}

// AllExecutions returns every recorded execution in order of its start.
func (j *Journal) AllExecutions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := make([]Execution, len(j.executions))
	for i, x := range j.executions {
		all[i] = *x
	}
	return all
}
