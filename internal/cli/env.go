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

// exitInvalidInput is the exit code for invalid input, such as a settings file or a
// ticket with faults.
const exitInvalidInput = subcommands.ExitUsageError

// Env holds the standard streams of a command and its dialer.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Dial opens connections; nil means TCP.
	Dial kvservice.DialFunc
}

// OSEnv returns the environment with the standard streams of the process.
func OSEnv() Env { return Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr} }

// reportSettingsError prints why the settings cannot be loaded and returns the exit
// code.
func (e Env) reportSettingsError(command string, err error) subcommands.ExitStatus {
	e.errorf("%s: %v\n", command, err)
	var faults *strictyaml.Error
	if errors.As(err, &faults) {
		return exitInvalidInput
	}
	return subcommands.ExitFailure
}

// printJSON writes v as indented JSON. Write errors are ignored: they mean that
// nobody reads the output.
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
