package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/strictyaml"
)

// exitFaults is the exit code when the input of a command has faults.
const exitFaults = subcommands.ExitUsageError

// Env is what a command reads from and writes to.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Dial opens connections; nil means TCP.
	Dial kvservice.DialFunc
}

// OSEnv is the environment of the process.
func OSEnv() Env { return Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr} }

// settingsFailure tells why the settings of a command cannot be used and returns
// the exit code.
func (e Env) settingsFailure(command string, err error) subcommands.ExitStatus {
	e.errorf("%s: %v\n", command, err)
	var faults *strictyaml.Error
	if errors.As(err, &faults) {
		return exitFaults
	}
	return subcommands.ExitFailure
}

// printJSON writes v indented. A failed write means that nobody reads the
// output, so there is nobody to tell.
func (e Env) printJSON(v any) {
	enc := json.NewEncoder(e.Stdout)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

func (e Env) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Stdout, format, args...)
}

func (e Env) errorf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Stderr, format, args...)
}
